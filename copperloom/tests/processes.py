"""Starts and stops real daemons and stand-ins for tests.

Every function that starts something registers its clean-up on the test case
that it is given. A test case class may be given in place of a case, for a
system that the tests of a class share.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

__all__ = ["Process", "launch", "start_entry", "start_standin", "wait_until"]

# Generous, since tests also run on a busy machine: importing alone takes half
# a second of processor time.
READY_LIMIT_S = 20.0
_EXIT_LIMIT_S = 5.0
_CALL_LIMIT_S = 5.0
_POLL_S = 0.02
_LOG_TAIL_LINES = 40
_ROOT = pathlib.Path(__file__).resolve().parents[2]
_MODULES = {
    "entry": ["copperloom.daemons.entry"],
    "engine": ["copperloom.standins.main", "engine"],
    "service": ["copperloom.standins.main", "service"],
    "platform": ["copperloom.standins.main", "platform"],
    "proxy": ["copperloom.standins.main", "proxy"],
}


class Process:
    """A process under test.

    Attributes:
        name: What logs and failures call it.
        popen: The operating system's process.
        folder: Holds its settings and what it wrote.
    """

    def __init__(self, name: str, popen: subprocess.Popen, folder: str):
        self.name = name
        self.popen = popen
        self.folder = pathlib.Path(folder)
        self._addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.popen.pid

    @property
    def addresses(self) -> dict[str, str]:
        """What it listens on, by name; waits until it is ready."""
        if not self._addresses:
            wait_until(self._read_ready, READY_LIMIT_S, f"{self.name} ready")
        return self._addresses

    @property
    def address(self) -> str:
        """Its main address, IP:port."""
        found = self.addresses
        return found.get("listen") or next(iter(found.values()))

    def _read_ready(self) -> bool:
        for line in self.output().splitlines(keepends=True):
            if line.startswith("ready ") and line.endswith("\n"):
                pairs = line.split()[1:]
                self._addresses = dict(p.split("=", 1) for p in pairs)
                return True
        if self.popen.poll() is not None:
            raise AssertionError(
                f"{self.name} exited with {self.popen.returncode}: "
                f"{self.log_tail()}"
            )
        return False

    def output(self) -> str:
        """What it printed."""
        return (self.folder / "stdout").read_text()

    def log(self) -> str:
        """Its log lines."""
        return (self.folder / "stderr").read_text(errors="replace")

    def log_tail(self) -> str:
        """The last of its log lines."""
        return "\n".join(self.log().splitlines()[-_LOG_TAIL_LINES:])

    def kill(self) -> None:
        """Ends it at once, without a word."""
        self.popen.kill()
        self.popen.wait(_EXIT_LIMIT_S)

    def freeze(self) -> None:
        """Stops it from running; its connections stay open."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it run on after `freeze`."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks it for a planned stop; returns at once."""
        self.popen.terminate()

    def running(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None

    def control(self, **values) -> dict:
        """Changes a stand-in's behaviour."""
        return self.call("POST", "/_standin/control", values)

    def truth(self) -> dict:
        """What really happened at a stand-in."""
        return self.call("GET", "/_standin/truth")

    def call(self, method: str, path: str, body: object = None) -> dict:
        """Makes one call with JSON on both ways, past any proxy."""
        return call(self.address, method, path, body)


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    *,
    token: str = "",
    limit_s: float = _CALL_LIMIT_S,
) -> dict:
    """Makes one blocking call; returns its reply if that is JSON.

    Raises:
        urllib.error.HTTPError: A status of 400 or more.
    """
    data = None if body is None else json.dumps(body).encode()
    ask = urllib.request.Request(
        f"http://{address}{path}",
        data=data,
        method=method,
        headers={
            "Content-Type": "application/json",
            "Authorization": f"Bearer {token}",
        },
    )
    with urllib.request.urlopen(ask, timeout=limit_s) as reply:
        text = reply.read()
    return json.loads(text) if text.startswith((b"{", b"[")) else {}


def wait_until(condition, within_s: float, what: str):
    """Waits for a condition and returns its first true value.

    Args:
        condition: A function; a refused or lost connection counts as false.
        within_s: Bound, in seconds.
        what: Named in the failure.

    Raises:
        AssertionError: It did not come true in time.
    """
    give_up = time.monotonic() + within_s
    while True:
        got = attempt(condition)
        if got:
            return got
        if time.monotonic() > give_up:
            raise AssertionError(f"not within {within_s} s: {what}")
        time.sleep(_POLL_S)


def attempt(condition):
    """Returns a condition's value; a refused or lost call gives None."""
    try:
        return condition()
    except (urllib.error.URLError, ConnectionError, TimeoutError):
        return None


def launch(
    case, program: str, sections: dict[str, dict], *, name: str = ""
) -> Process:
    """Starts a program and returns before it is ready.

    Args:
        case: A test case or its class.
        program: "entry", or the kind of a stand-in.
        sections: Settings by section and key.
        name: Name in logs; the program's if not given.
    """
    folder = tempfile.TemporaryDirectory(prefix="copperloom-")
    on_cleanup(case, folder.cleanup)
    here = pathlib.Path(folder.name)
    (here / "settings.ini").write_text(_ini(sections))
    with (here / "stdout").open("w") as out, (here / "stderr").open("w") as err:
        popen = subprocess.Popen(
            [sys.executable, "-m", *_MODULES[program]]
            + ["--settings", str(here / "settings.ini")],
            cwd=_ROOT,
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=err,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
    process = Process(name or program, popen, folder.name)
    on_cleanup(case, _finish, case, process)
    return process


def start_standin(case, kind: str, **sections: dict) -> Process:
    """Starts a stand-in; its settings are one dict a section."""
    process = launch(case, kind, sections)
    return process if process.addresses else process


def start_entry(case, platform: str, **sections: dict) -> Process:
    """Starts an entry with short intervals, so that tests need not wait.

    Args:
        case: A test case or its class.
        platform: The platform's address, or that of a proxy before it.
        **sections: Settings by section, over the defaults for tests.
    """
    process = launch_entry(case, platform, **sections)
    return process if process.addresses else process


def launch_entry(case, platform: str, **sections: dict) -> Process:
    """Starts an entry and returns before it is ready."""
    merged = {
        "entry": {"instance": "e0", "data_centre": "a", "drain_lag_s": 0.5},
        "platform": {
            "address": platform,
            "timeout_s": 1.0,
            "head_poll_s": 0.2,
            "instances_poll_s": 0.2,
        },
        "membership": {
            "exchange_s": 0.2,
            "suspect_s": 1.0,
            "dead_s": 2.0,
            "confirm_s": 2.0,
        },
        "targets": {
            "load_poll_s": 0.1,
            "load_polls_per_s": 100,
            "reclaim_poll_s": 0.3,
            "reservation_s": 1.0,
        },
    }
    for section, values in sections.items():
        merged[section] = merged.get(section, {}) | values
    return launch(case, "entry", merged, name=merged["entry"]["instance"])


def on_cleanup(case, function, *args) -> None:
    """Registers a clean-up on a test case or on a test case class."""
    add = case.addClassCleanup if isinstance(case, type) else case.addCleanup
    add(function, *args)


def _finish(case, process: Process) -> None:
    """Ends a process for good and shows its log if the test failed."""
    with contextlib.suppress(ProcessLookupError):
        process.resume()
    process.popen.kill()
    process.popen.wait(_EXIT_LIMIT_S)
    if _failed(case):
        print(f"--- log of {process.name} ---\n{process.log_tail()}")


def _failed(case) -> bool:
    # unittest has no public word for this during clean-up; without it the
    # logs are left out and nothing else changes.
    outcome = getattr(case, "_outcome", None)
    return outcome is not None and not outcome.success


def _ini(sections: dict[str, dict]) -> str:
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines.extend(f"{key} = {value}" for key, value in values.items())
    return "\n".join(lines) + "\n"
