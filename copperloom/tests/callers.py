"""Client for tests: calls an entry and records what the caller received."""

import asyncio
import dataclasses
import json
import socket
import time

import aiohttp

from copperloom.history import Call, Outcome
from copperloom.standins import answers
from copperloom.tests import systems

__all__ = ["Ask", "ReceivedAnswer", "ask", "resume", "send_and_read_nothing"]

# Callers wait beyond their time limit to distinguish a late outcome from a
# missing one.
_LATE_OUTCOME_S = 8.0
_RECEIVE_BUFFER_BYTES = 4096
_DATA_PREFIX = b"data: "
_STREAM_END = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class Ask:
    """A caller's request.

    Attributes:
        prompt: Prompt text, unique within a test.
        organisation: Organisation that sends the request.
        tokens: Length of the answer, in tokens.
        key: Idempotency key ("" if none).
        repeatable: Whether the request may run more than once.
        limit_s: Time limit, in seconds.
        resumable: Whether generation continues when the connection breaks.
        service: Whether the request is for the plain service.
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
class ReceivedAnswer:
    """The part of an answer received so far.

    Attributes:
        request: Request id.
        stream: Stream name, with which the answer can be resumed.
        text: Text received.
        done: Whether the answer is complete.
        error: Error received instead of the rest of the answer.
        retry_after: Value of the Retry-After header.
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


def expected(req: Ask) -> str:
    """Returns the complete answer that a request must get."""
    if req.service:
        size = len(req.prompt)
        return json.dumps(
            {"path": f"/{req.prompt}", "key": req.key, "bytes": size},
            separators=(",", ":"),
        )
    return answers.whole(
        req.organisation, systems.CHAT, _messages(req), req.tokens
    )


async def ask(
    session: aiohttp.ClientSession,
    entry,
    req: Ask,
    *,
    received: ReceivedAnswer | None = None,
    address: str = "",
) -> Call:
    """Sends a request and returns the call as its caller saw it.

    Args:
        session: HTTP client.
        entry: Process of the entry.
        req: The request.
        received: Updated while the answer arrives.
        address: Address of a proxy in front of the entry ("" if none).
    """
    path = "/v1/chat/completions"
    if req.service:
        path = f"/v1/services/{systems.SERVICE}/{req.prompt}"
    url = f"http://{address or entry.address}{path}"
    sent = session.post(url, data=_body(req), headers=_headers(req))
    return await _record(entry, req, sent, received or ReceivedAnswer())


async def resume(
    session: aiohttp.ClientSession, entry, req: Ask, received: ReceivedAnswer
) -> Call:
    """Resumes a cut answer at another entry; appends to `received`."""
    offset = received.text.count(" ")
    path = f"/v1/streams/{received.stream}?offset={offset}"
    url = f"http://{entry.address}{path}"
    received.done, received.error = False, None
    sent = session.get(url, headers=_headers(req))
    return await _record(entry, req, sent, received)


def send_and_read_nothing(entry, req: Ask) -> socket.socket:
    """Sends a request over a connection with a small buffer, never reading.

    Returns:
        The open socket, which the caller closes.
    """
    host, _, port = entry.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.connect((host, int(port)))
    body = _body(req)
    headers = _headers(req) | {"Host": host, "Content-Length": len(body)}
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(["POST /v1/chat/completions HTTP/1.1", *lines])
    sock.sendall(head.encode() + b"\r\n\r\n" + body)
    return sock


async def _record(entry, req: Ask, sent, received: ReceivedAnswer) -> Call:
    invoked = time.monotonic()
    cancelled = False
    try:
        async with asyncio.timeout(req.limit_s + _LATE_OUTCOME_S):
            outcome = await _receive(sent, req, received)
    except TimeoutError:
        outcome = Outcome.NONE
    except aiohttp.ClientConnectorError:
        outcome = Outcome.UNREACHED
    except (aiohttp.ClientError, OSError):
        outcome = Outcome.CUT
    except asyncio.CancelledError:
        outcome, cancelled = Outcome.CUT, True
    error = received.error or {}
    return Call(
        request=received.request,
        entry=entry.name,
        organisation=req.organisation,
        key=req.key,
        repeatable=req.repeatable,
        invoked=invoked,
        returned=time.monotonic(),
        limit_s=req.limit_s,
        outcome=outcome,
        code=error.get("code", 0),
        text=received.text,
        expected=expected(req),
        retry_after_s=error.get("retry_after_s"),
        cancelled=cancelled,
    )


async def _receive(sent, req: Ask, received: ReceivedAnswer) -> Outcome:
    async with sent as reply:
        received.status = reply.status
        received.headers = dict(reply.headers)
        received.request = reply.headers.get(
            "X-Copperloom-Request", received.request
        )
        received.stream = reply.headers.get(
            "X-Copperloom-Stream", received.stream
        )
        received.retry_after = reply.headers.get("Retry-After")
        if reply.status >= 400:
            received.error = _as_error(json.loads(await reply.read())["error"])
        elif req.service:
            received.text = (await reply.read()).decode()
            received.done = True
        else:
            await _receive_events(reply, received)
    if received.error:
        return Outcome(received.error["run"])
    return Outcome.ANSWERED if received.done else Outcome.CUT


def _as_error(error: dict | str) -> dict:
    """Returns an error as a dict; a text comes from a service that ran."""
    if isinstance(error, str):
        return {"run": Outcome.RAN_AND_FAILED.value, "message": error}
    return error


async def _receive_events(
    reply: aiohttp.ClientResponse, received: ReceivedAnswer
) -> None:
    async for line in reply.content:
        if not line.startswith(_DATA_PREFIX):
            continue
        value = line[len(_DATA_PREFIX) :].strip()
        if value == _STREAM_END:
            received.done = True
            continue
        event = json.loads(value)
        received.error = event.get("error") or received.error
        for choice in event.get("choices", ()):
            received.text += choice["delta"].get("content") or ""


def _messages(req: Ask) -> bytes:
    return json.dumps([{"role": "user", "content": req.prompt}]).encode()


def _body(req: Ask) -> bytes:
    if req.service:
        return req.prompt.encode()
    head = {"model": systems.CHAT, "stream": True, "max_tokens": req.tokens}
    text = json.dumps(head).encode()
    # The engine's answer depends on the exact bytes of the messages.
    return text[:-1] + b', "messages": ' + _messages(req) + b"}"


def _headers(req: Ask) -> dict[str, str]:
    token = systems.token_of(req.organisation)
    headers = {
        "Authorization": f"Bearer {token}",
        "Content-Type": "application/json",
        "X-Copperloom-Time-Limit": f"{req.limit_s:g}",
        "X-Copperloom-Not-Repeatable": str(not req.repeatable).lower(),
        "X-Copperloom-Resumable": str(req.resumable).lower(),
    }
    if req.key:
        headers["Idempotency-Key"] = req.key
    return headers
