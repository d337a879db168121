"""copperloom: the command for operators.

Usage:
  copperloom [options] [--entry ADDRESS]... (deployment | organisation | target | preset) put NAME [KEY=VALUE]...
  copperloom [options] [--entry ADDRESS]... (deployment | organisation | target | preset) delete NAME
  copperloom [options] [--entry ADDRESS]... (deployment | organisation | target | preset) list
  copperloom [options] [--entry ADDRESS]... preset switch NAME
  copperloom [options] [--entry ADDRESS]... target (retire | admit) NAME
  copperloom [options] [--entry ADDRESS]... (status | drain)
  copperloom [options] [--entry ADDRESS]... audit [--limit N]
  copperloom [options] front status ADDRESS
  copperloom [options] front explain ADDRESS HOST PATH [KEY]
  copperloom [options] trace ID LOG...
  copperloom [options] losses [--report FILE] LOG...
  copperloom config check FILE [--program PROGRAM]
  copperloom config explain [PROGRAM]
  copperloom -h | --help

Options:
  --entry ADDRESS    IP:port of an entry; the next one is tried if one can't
                     answer. Also taken from COPPERLOOM_ENTRIES, a list with
                     commas.
  --token-file FILE  File that holds the operators' token. Also taken from
                     COPPERLOOM_TOKEN_FILE.
  --operator NAME    Who makes the change; the user's name if not given.
  --note TEXT        Why, for the audit trail [default: ].
  --wait SECONDS     Longest wait until a change is in force [default: 12].
  --limit N          Rows of the audit trail, the newest [default: 20].
  --report FILE      The platform's report on the same day.
  --program PROGRAM  Whose settings a file holds [default: entry].
  --json             Print one JSON document.

`front` queries an instance of copperloom-front at its metrics address: its
status, or how it would route a request. `trace` shows the log lines of one
request from the logs of any number of instances and explains its outcome.
`losses` adds up, from the same logs, the worth that requests lost, by reason.

`put` of an existing entity changes the given keys and keeps the others.

Exit status: 0 success, a change is in force everywhere; 1 failure, nothing was
changed; 2 invalid arguments or settings; 3 the outcome is unknown, or a change
was applied but is not in force everywhere yet.
"""  # noqa: E501

import asyncio
import getpass
import os
import pathlib
import secrets
import sys

import docopt
import msgspec

from copperloom import exception, settings
from copperloom.cli import (
    edits,
    entries,
    fronts,
    losses,
    programs,
    show,
    trace,
)
from copperloom.platform import report

__all__ = ["DONE", "NOT_DONE", "UNKNOWN", "USAGE", "main"]

DONE = 0
NOT_DONE = 1
USAGE = 2
UNKNOWN = 3
_KINDS = ("deployment", "organisation", "target", "preset")
# Codes of errors after which it is unknown whether a change was applied.
_UNKNOWN_CODES = (
    exception.ChangeUnknownError.code,
    exception.PlatformUnknownError.code,
)


def main(argv: list[str] | None = None) -> int:
    """Runs the command and returns its exit status."""
    try:
        args = docopt.docopt(__doc__, argv)
    except docopt.DocoptExit as error:
        print(error.code, file=sys.stderr)
        return USAGE
    try:
        if args["config"]:
            return _config(args)
        if args["trace"]:
            return _trace(args)
        if args["losses"]:
            return _losses(args)
        if args["front"]:
            return asyncio.run(_front(args))
        return asyncio.run(_call_entries(args))
    except exception.SettingsError as error:
        return _fail(args, error, USAGE)
    except exception.CopperloomError as error:
        unknown = error.code in _UNKNOWN_CODES
        return _fail(args, error, UNKNOWN if unknown else NOT_DONE)


def _fail(args, error: exception.CopperloomError, status: int) -> int:
    if args["--json"]:
        body = {"error": str(error), "code": error.code, "run": error.run}
        print(msgspec.json.encode(body).decode())
    else:
        print(f"error {error.code}: {error}", file=sys.stderr)
        if error.retry_after_s is not None:
            print(f"try again in {error.retry_after_s:g} s", file=sys.stderr)
    return status


def _config(args) -> int:
    if args["check"]:
        settings.load(args["FILE"], programs.find(args["--program"]))
        print(f"{args['FILE']}: valid settings of {args['--program']}")
    else:
        print(settings.explain(programs.find(args["PROGRAM"] or "entry")))
    return DONE


def _trace(args) -> int:
    lines = trace.find(trace.read(args["LOG"]), args["ID"])
    if not lines:
        print(f"no log line of request {args['ID']}", file=sys.stderr)
        return NOT_DONE
    explanation = trace.explain(lines)
    answer = {"lines": [line.text for line in lines], "decided_by": explanation}
    _print(args, answer, _format_trace)
    return DONE


def _losses(args) -> int:
    found = losses.find(trace.read(args["LOG"]))
    day_report = report.load(args["--report"]) if args["--report"] else None
    _print(args, found, lambda rows: losses.table(rows, day_report))
    return DONE


def _format_trace(answer: dict) -> str:
    return "\n".join([*answer["lines"], "", answer["decided_by"]])


async def _front(args) -> int:
    address = args["ADDRESS"]
    if args["status"]:
        _print(args, await fronts.ask(address, "status"), fronts.status)
        return DONE
    answer = await fronts.ask(
        address,
        "explain",
        host=args["HOST"],
        path=args["PATH"],
        key=args["KEY"] or "",
    )
    _print(args, answer, fronts.explained)
    return DONE


async def _call_entries(args) -> int:
    async with entries.open_client(_addresses(args), _token(args)) as client:
        if args["status"]:
            answer = await entries.get(client, "status")
            _print(args, answer, show.status)
            return DONE
        if args["audit"]:
            limit = _number(args["--limit"], "--limit")
            answer = await entries.get(client, f"audit?limit={limit:.0f}")
            _print(args, answer, show.audit)
            return DONE
        if args["drain"]:
            _print(args, await entries.drain(client), show.drain)
            return DONE
        if args["list"]:
            answer = await entries.get(client, "config")
            _print(
                args, edits.select(answer, _selected_kind(args)), show.entities
            )
            return DONE
        return await _change(args, client)


async def _change(args, client) -> int:
    """Applies a change to the version read just before.

    The change fails if another operator's change comes in between, so that no
    operator overwrites a change that they have not seen.
    """
    cfg = await entries.get(client, "config")
    request = edits.ChangeRequest(
        operator=args["--operator"] or getpass.getuser(),
        note=args["--note"],
        seen_version=cfg["version"],
        nonce=secrets.token_hex(16),
        wait_s=_number(args["--wait"], "--wait"),
    )
    request = _add_edit(args, cfg, request)
    answer = await entries.change(client, request)
    _print(args, answer, show.change)
    return DONE if not answer["behind"] else UNKNOWN


def _add_edit(
    args, cfg: dict, request: edits.ChangeRequest
) -> edits.ChangeRequest:
    kind, name = _selected_kind(args), args["NAME"]
    if args["switch"]:
        return edits.switch(request, name)
    if args["delete"]:
        return edits.delete(request, kind, name)
    pairs = args["KEY=VALUE"]
    if args["retire"] or args["admit"]:
        edits.require(cfg, kind, name)
        pairs = ["state=" + ("retired" if args["retire"] else "admitted")]
    return edits.put(request, cfg, kind, name, pairs)


def _selected_kind(args) -> str:
    return next(kind for kind in _KINDS if args[kind])


def _print(args, answer, format_text) -> None:
    if args["--json"]:
        print(msgspec.json.encode(answer).decode())
    else:
        print(format_text(answer))


def _addresses(args) -> list[str]:
    found = args["--entry"] or [
        part.strip()
        for part in os.environ.get("COPPERLOOM_ENTRIES", "").split(",")
        if part.strip()
    ]
    if not found:
        raise exception.SettingsError(
            "neither --entry nor COPPERLOOM_ENTRIES is given"
        )
    return found


def _token(args) -> str:
    path = args["--token-file"] or os.environ.get("COPPERLOOM_TOKEN_FILE")
    if not path:
        raise exception.SettingsError(
            "neither --token-file nor COPPERLOOM_TOKEN_FILE is given"
        )
    try:
        return pathlib.Path(path).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise exception.SettingsError(f"{path}: {error}") from error


def _number(text: str, name: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise exception.SettingsError(
            f"{name}: not a number: {text!r}"
        ) from error


if __name__ == "__main__":
    sys.exit(main())
