"""Calls an entry as a caller would, and records what the caller saw."""

import asyncio
import dataclasses
import json
import socket
import time

import aiohttp

from copperloom.history import Call, Outcome
from copperloom.standins import answers
from copperloom.tests import systems

__all__ = ["Ask", "Seen", "ask", "resume", "send_and_read_nothing"]

# A caller waits longer than its limit, so that a late outcome is told apart
# from none.
_PATIENCE_S = 8.0
_SMALL_BUFFER_BYTES = 4096
_DATA = b"data: "
_DONE = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class Ask:
    """What a caller asks for.

    Attributes:
        prompt: Its text, unique in a test.
        organisation: Who asks.
        tokens: Length of the answer.
        key: Idempotency key ("" if none).
        repeatable: Whether it may run more than once.
        limit_s: Time limit.
        resumable: Whether the work goes on when the connection breaks.
        service: Whether it is for the plain service.
    """

    prompt: str
    organisation: str = systems.ORGANISATIONS[0]
    tokens: int = 5
    key: str = ""
    repeatable: bool = True
    limit_s: float = 10.0
    resumable: bool = False
    service: bool = False


@dataclasses.dataclass
class Seen:
    """What came of an answer so far.

    Attributes:
        request: Request id.
        stream: Path to resume it at.
        text: What came.
        done: Whether the end came.
        error: The error that came in place of the end.
        retry_after: The header of that name.
        status: HTTP status.
        headers: All headers of the reply.
    """

    request: str = ""
    stream: str = ""
    text: str = ""
    done: bool = False
    error: dict | None = None
    retry_after: str | None = None
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)


def expected(want: Ask) -> str:
    """Returns the whole answer that is a request's own."""
    if want.service:
        size = len(want.prompt)
        return json.dumps(
            {"path": f"/{want.prompt}", "key": want.key, "bytes": size},
            separators=(",", ":"),
        )
    return answers.whole(
        want.organisation, systems.CHAT, _messages(want), want.tokens
    )


async def ask(
    session: aiohttp.ClientSession,
    entry,
    want: Ask,
    *,
    seen: Seen | None = None,
    address: str = "",
) -> Call:
    """Sends a request and returns what its caller saw.

    Args:
        session: The HTTP client.
        entry: The entry's process.
        want: The request.
        seen: Filled in while the answer comes.
        address: Of a proxy before the entry, if there is one.
    """
    path = "/v1/chat/completions"
    if want.service:
        path = f"/v1/services/{systems.SERVICE}/{want.prompt}"
    url = f"http://{address or entry.address}{path}"
    sent = session.post(url, data=_body(want), headers=_headers(want))
    return await _record(entry, want, sent, seen or Seen())


async def resume(
    session: aiohttp.ClientSession, entry, want: Ask, seen: Seen
) -> Call:
    """Reads on a cut answer at another entry; `seen` goes on from its end."""
    offset = seen.text.count(" ")
    path = f"/v1/streams/{seen.stream}?offset={offset}"
    url = f"http://{entry.address}{path}"
    seen.done, seen.error = False, None
    sent = session.get(url, headers=_headers(want))
    return await _record(entry, want, sent, seen)


def send_and_read_nothing(entry, want: Ask) -> socket.socket:
    """Sends a request over a connection with a small buffer; never reads."""
    host, _, port = entry.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
    sock.connect((host, int(port)))
    body = _body(want)
    headers = _headers(want) | {"Host": host, "Content-Length": len(body)}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(["POST /v1/chat/completions HTTP/1.1", *lines])
    sock.sendall(head.encode() + b"\r\n\r\n" + body)
    return sock


async def _record(entry, want: Ask, sent, seen: Seen) -> Call:
    invoked = time.monotonic()
    cancelled = False
    try:
        async with asyncio.timeout(want.limit_s + _PATIENCE_S):
            outcome = await _read(sent, want, seen)
    except TimeoutError:
        outcome = Outcome.NONE
    except aiohttp.ClientConnectorError:
        outcome = Outcome.UNREACHED
    except (aiohttp.ClientError, OSError):
        outcome = Outcome.CUT
    except asyncio.CancelledError:
        outcome, cancelled = Outcome.CUT, True
    error = seen.error or {}
    return Call(
        request=seen.request,
        entry=entry.name,
        organisation=want.organisation,
        key=want.key,
        repeatable=want.repeatable,
        invoked=invoked,
        returned=time.monotonic(),
        limit_s=want.limit_s,
        outcome=outcome,
        code=error.get("code", 0),
        text=seen.text,
        expected=expected(want),
        retry_after_s=error.get("retry_after_s"),
        cancelled=cancelled,
    )


async def _read(sent, want: Ask, seen: Seen) -> Outcome:
    async with sent as reply:
        seen.status = reply.status
        seen.headers = dict(reply.headers)
        seen.request = reply.headers.get("X-Copperloom-Request", seen.request)
        seen.stream = reply.headers.get("X-Copperloom-Stream", seen.stream)
        seen.retry_after = reply.headers.get("Retry-After")
        if reply.status >= 400:
            seen.error = _error(json.loads(await reply.read())["error"])
        elif want.service:
            seen.text = (await reply.read()).decode()
            seen.done = True
        else:
            await _read_events(reply, seen)
    if seen.error:
        return Outcome(seen.error["run"])
    return Outcome.ANSWERED if seen.done else Outcome.CUT


def _error(told: dict | str) -> dict:
    """Returns an entry's error; a plain service's own is one of a run."""
    if isinstance(told, str):
        return {"run": Outcome.RAN_AND_FAILED.value, "message": told}
    return told


async def _read_events(reply: aiohttp.ClientResponse, seen: Seen) -> None:
    async for line in reply.content:
        if not line.startswith(_DATA):
            continue
        value = line[len(_DATA) :].strip()
        if value == _DONE:
            seen.done = True
            continue
        event = json.loads(value)
        seen.error = event.get("error") or seen.error
        for choice in event.get("choices", ()):
            seen.text += choice["delta"].get("content") or ""


def _messages(want: Ask) -> bytes:
    return json.dumps([{"role": "user", "content": want.prompt}]).encode()


def _body(want: Ask) -> bytes:
    if want.service:
        return want.prompt.encode()
    head = {"model": systems.CHAT, "stream": True, "max_tokens": want.tokens}
    text = json.dumps(head).encode()
    # The messages' bytes go as they are: the engine's answer depends on them.
    return text[:-1] + b', "messages": ' + _messages(want) + b"}"


def _headers(want: Ask) -> dict[str, str]:
    token = systems.token_of(want.organisation)
    headers = {
        "Authorization": f"Bearer {token}",
        "Content-Type": "application/json",
        "X-Copperloom-Time-Limit": f"{want.limit_s:g}",
        "X-Copperloom-Not-Repeatable": str(not want.repeatable).lower(),
        "X-Copperloom-Resumable": str(want.resumable).lower(),
    }
    if want.key:
        headers["Idempotency-Key"] = want.key
    return headers
