"""A fake target: the stream of a model engine or a plain service."""

import asyncio
import collections
import dataclasses
import functools
import time
from collections.abc import Callable

import msgspec
from aiohttp import web

from copperloom.platform.standins import crashes, raw_answers, wire
from copperloom.platform.standins.target_faults import Fault

__all__ = [
    "Fault",
    "ReceivedRequest",
    "TargetStandin",
    "serve",
]

_SHUTDOWN_S = 0.1
# More than any limit on what callers send.
_MAX_HEAD_BYTES = 10_000_000


@dataclasses.dataclass(frozen=True)
class ReceivedRequest:
    """A request that a target received.

    Attributes:
        id: Request id.
        method: HTTP method.
        raw_path: Path and query as sent.
        headers: Headers of the request.
        body: Body of the request.
        ran: Whether the target ran the request.
        at: Monotonic time at which it was received.
        retry_after: The Retry-After with which it was rejected; None
            without one.
        draining: What the answer said about draining; None for nothing.
        born: The start of the target that received it.
        cold: Whether the target was cold.
    """

    id: str
    method: str
    raw_path: str
    headers: dict[str, str]
    body: bytes
    ran: bool
    at: float
    retry_after: str | None = None
    draining: str | None = None
    born: int = 1
    cold: bool = False


def _never(request: ReceivedRequest) -> bool:
    return False


def _make_event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def _ignore(target: "TargetStandin") -> None:
    """Does nothing; the default of the hooks of `TargetStandin`."""


class TargetStandin:
    """The state of a target and the faults that a test injects.

    Attributes:
        name: Name of the target.
        address: IP:port.
        faults: Faults of the next requests, in order.
        always: Fault of the requests after these; None for none.
        other_answers: Endless answer to checks and orders; None for none.
        endless_bytes: Bytes of endless answers that were written.
        events: Number of events of a stream.
        pause_s: Delay before each event and each plain answer, in seconds.
        break_after: Number of events sent before BREAK and HALF_EVENT take
            effect, and before `interjected`.
        interjected: Bytes that it sends once in each stream.
        make_event: Returns the bytes of the event with a number.
        seen: All requests received.
        arrivals: All that was received, with orders and checks: monotonic time
            and the operation of the order, "check" or "request".
        running: Number of requests in progress.
        left: Number of requests whose caller closed the connection.
        memory: Tokens reserved, by reservation.
        orders: All orders received.
        kv_tokens: Capacity of the KV cache, in tokens.
        born: Time of its latest start, as it registers it.
        crashes_on: Returns whether the target crashes as it begins to run a
            request.
        crashed_by: The requests that it crashed under.
        restart_after_s: Time from a crash to the next start, in seconds; None
            for no restart.
        renamed: Whether it has another name after a restart.
        limit: The limit that it names in its answers; None for none.
        draining: What its answers say about draining; None for nothing.
        retry_after: Retry-After with which it rejects all requests; None
            to serve them.
        seals_refusals: Whether it does so in sealed answers, instead of saying
            that it did not run the request.
        cold_start_s: Time for which it is cold after a restart, in seconds.
        cold_until: Monotonic time until which it is cold.
        tells_cold: Whether the answers to requests say so as well, not only
            those to checks.
        on_crash: Called after a crash.
        on_restart: Called after a restart, to register it again.
        leaves: Whether its checks say that it takes no more work.
        registrations: Number of rows that it has made.
        write_head: Returns the bytes of a head for given fields, in place of
            a proper one; None for proper answers.
        cut_answer: Returns the bytes of an answer that is cut off in its head,
            for the fields of a proper one; None for proper answers.
        resets: Whether the connection of such an answer is reset.
        early_answer: Bytes that it sends as soon as it has received the head
            of a request, before it resets the connection; None to read all.
        restarting: The restart that is due, if any.
        runner: Runner of the HTTP server; None while it is down.
    """

    def __init__(self, name: str):
        self.name = name
        self.address = ""
        self.faults: collections.deque[Fault] = collections.deque()
        self.always: Fault | None = None
        self.other_answers: Fault | None = None
        self.endless_bytes = 0
        self.events = 5
        self.pause_s = 0.01
        self.break_after = 2
        self.interjected = b""
        self.make_event = _make_event
        self.seen: list[ReceivedRequest] = []
        self.arrivals: list[tuple[float, str]] = []
        self.running = 0
        self.left = 0
        self.memory: dict[str, int] = {}
        self.orders: list[dict] = []
        self.kv_tokens = 315_000
        self.born = 1
        self.crashes_on: Callable[[ReceivedRequest], bool] = _never
        self.crashed_by: list[ReceivedRequest] = []
        self.restart_after_s: float | None = 0.5
        self.renamed = False
        self.limit: str | None = None
        self.draining: str | None = None
        self.retry_after: str | None = None
        self.seals_refusals = False
        self.cold_start_s = 0.0
        self.cold_until = float("-inf")
        self.tells_cold = False
        self.on_crash: Callable[[TargetStandin], None] = _ignore
        self.on_restart: Callable[[TargetStandin], None] = _ignore
        self.leaves = False
        self.registrations = 0
        self.write_head: Callable[[list[str]], bytes] | None = None
        self.cut_answer: Callable[[list[str]], bytes] | None = None
        self.resets = False
        self.early_answer: bytes | None = None
        self.restarting: asyncio.Task | None = None
        self.runner: web.ServerRunner | None = None

    @property
    def runs(self) -> list[str]:
        """Ids of the requests that were run."""
        return [s.id for s in self.seen if s.ran]

    @property
    def cold_left_ms(self) -> int:
        """Milliseconds for which it is still cold."""
        return int(max(0.0, self.cold_until - time.monotonic()) * 1000)

    def begin_cold(self) -> None:
        """Makes it cold, as after a start."""
        self.cold_until = time.monotonic() + self.cold_start_s

    def registration(self, service: str, **changes) -> dict:
        """Returns the row with which the target registers."""
        self.registrations += 1
        row = {
            "service": service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": self.cold_left_ms,
            "seq": self.registrations,
            "born": self.born,
        }
        return row | changes

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            is_early = self.early_answer is not None
            if is_early and wire.REQUEST in request.headers:
                await raw_answers.write_early(self, request)
            return await _handle(self, request)

        loop = asyncio.get_running_loop()
        server = web.Server(
            handle,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            request_factory=functools.partial(_make_request, loop),
            max_line_size=_MAX_HEAD_BYTES,
            max_field_size=_MAX_HEAD_BYTES,
            max_headers=_MAX_HEAD_BYTES,
        )
        self.runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_S)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port, reuse_address=True)
        await site.start()
        self.address = "{}:{}".format(*self.runner.addresses[0][:2])

    async def close(self) -> None:
        """Stops the target."""
        if self.restarting is not None:
            self.restarting.cancel()
        if self.runner is not None:
            await self.runner.cleanup()


async def serve(
    name: str, host: str = "127.0.0.1", port: int = 0
) -> TargetStandin:
    """Starts a target."""
    target = TargetStandin(name)
    await target.listen(host, port)
    return target


def _make_request(loop, *parts) -> web.BaseRequest:
    """Returns a request whose body may have any size."""
    return web.BaseRequest(*parts, loop, client_max_size=0)


async def _handle(target, request) -> web.StreamResponse:
    body = await request.read()
    if request.method == "GET" and request.path in wire.CHECK_PATHS:
        _record_arrival(target, "check")
        if target.other_answers is not None:
            await raw_answers.write_endless(
                target, request, {}, target.other_answers
            )
        headers = _own_headers(target)
        if request.path == wire.HEALTH_PATH:
            headers[wire.COLD] = str(target.cold_left_ms)
        return web.Response(
            status=503 if target.leaves else 200, headers=headers
        )
    if request.path == "/copperloom/order":
        order = msgspec.json.decode(body)
        _record_arrival(target, order["op"])
        if target.other_answers is not None:
            await raw_answers.write_endless(
                target, request, {}, target.other_answers
            )
        return _handle_order(target, order)
    _record_arrival(target, "request")
    expected = request.headers.get(wire.TARGET, target.name)
    fault = target.faults.popleft() if target.faults else target.always
    if expected != target.name:
        fault = Fault.MISDIRECTED
    rejected = target.retry_after is not None
    refused = rejected or fault in (Fault.REFUSE, Fault.MISDIRECTED)
    request_id = request.headers.get(wire.REQUEST, "")
    received = ReceivedRequest(
        id=request_id,
        method=request.method,
        raw_path=request.raw_path,
        headers=dict(request.headers),
        body=body,
        ran=not refused and fault is not Fault.ENDLESS_REFUSAL,
        at=asyncio.get_running_loop().time(),
        retry_after=target.retry_after,
        draining=target.draining,
        born=target.born,
        cold=target.cold_left_ms > 0,
    )
    target.seen.append(received)
    if refused:
        return _refuse(target, received, fault)
    target.running += 1
    try:
        if target.crashes_on(received):
            await crashes.crash_under(target, request, received)
        return await _run(target, request, request_id, fault)
    except (asyncio.CancelledError, ConnectionError):
        target.left += 1
        raise
    finally:
        target.running -= 1


def _record_arrival(target: TargetStandin, kind: str) -> None:
    at = asyncio.get_running_loop().time()
    target.arrivals.append((at, kind))


def _refuse(target, received: ReceivedRequest, fault) -> web.Response:
    status = 421 if fault is Fault.MISDIRECTED else 503
    headers = _own_headers(target)
    if received.retry_after is not None:
        headers[wire.RETRY_AFTER] = received.retry_after
    if target.seals_refusals and status == 503:
        headers[wire.REQUEST] = received.id
        headers[wire.SEAL] = f"s.{received.id}"
    else:
        headers[wire.NOT_RUN] = "1"
    return web.Response(status=status, headers=headers)


def _own_headers(target: TargetStandin) -> dict[str, str]:
    """Returns the headers by which a target tells of itself in all answers."""
    values = {wire.LIMIT: target.limit, wire.DRAINING: target.draining}
    if target.tells_cold:
        values[wire.COLD] = str(target.cold_left_ms)
    return {name: v for name, v in values.items() if v is not None}


async def _run(target, request, request_id, fault) -> web.StreamResponse:
    if fault is Fault.MUTE:
        await asyncio.sleep(3600)
    if fault is Fault.RESET:
        crashes.reset(request.transport)
        await asyncio.sleep(0)
    headers = {wire.REQUEST: request_id, wire.SEAL: f"s.{request_id}"}
    headers |= _own_headers(target)
    if fault in (Fault.OTHERS_ANSWER, Fault.OTHERS_REFUSAL):
        headers[wire.REQUEST] = "another"
    if fault is Fault.OTHERS_REFUSAL:
        headers[wire.NOT_RUN] = "1"
        return web.Response(status=503, headers=headers)
    if fault is Fault.UNSEALED_LIMIT:
        return web.Response(status=429)
    if fault is Fault.UNSEALED:
        del headers[wire.SEAL]
    if fault is Fault.ENCODED:
        headers["Content-Encoding"] = "gzip"
    await _write_raw(target, request, headers, request_id, fault)
    if wire.TOKENS in request.headers:
        return await _send_stream(target, request, headers, fault)
    await asyncio.sleep(target.pause_s)
    return await _send_plain(target, request, headers, request_id, fault)


async def _write_raw(target, request, headers, request_id, fault) -> None:
    """Writes an answer without the HTTP library, if it is to be malformed."""
    if fault in raw_answers.ENDLESS_FAULTS:
        await raw_answers.write_endless(target, request, headers, fault)
    if target.cut_answer is not None:
        await raw_answers.write_cut(target, request, headers)
    if target.write_head is not None:
        await raw_answers.write_raw(target, request, headers, request_id)


async def _send_plain(
    target, request, headers, request_id, fault
) -> web.StreamResponse:
    if fault is Fault.FAIL:
        return web.Response(status=500, headers=headers, body=b"failed")
    if fault is Fault.NO_CONTENT:
        return web.Response(status=204, headers=headers)
    body = f"{target.name} did {request_id}".encode()
    if fault in raw_answers.PLAIN_FAULTS:
        await raw_answers.write_plain(request, headers, body, fault)
    return web.Response(headers=headers, body=body)


async def _send_stream(target, request, headers, fault) -> web.StreamResponse:
    if fault is Fault.FAIL:
        return web.Response(status=500, headers=headers, body=b"failed")
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    first = int(request.headers.get("Last-Event-Id") or 0) + 1
    if fault in raw_answers.STREAM_FAULTS:
        return await raw_answers.write_stream(
            target, request, response, first, fault
        )
    await response.prepare(request)
    for number in range(first, target.events + 1):
        await asyncio.sleep(target.pause_s)
        event = target.make_event(number)
        if number - first == target.break_after:
            await _interject(target, response)
            if fault is Fault.HALF_EVENT:
                await response.write(raw_answers.part_of(event))
            if fault in (Fault.BREAK, Fault.HALF_EVENT):
                crashes.reset(request.transport)
                return response
        await response.write(event)
    if target.interjected and first + target.break_after > target.events:
        await _interject(target, response)
        if fault is Fault.BREAK:
            crashes.reset(request.transport)
            return response
    await response.write_eof()
    return response


async def _interject(target, response) -> None:
    if target.interjected:
        await response.write(target.interjected)
        # A reset would discard what has not left yet.
        await asyncio.sleep(raw_answers.FLUSH_S)


def _handle_order(target: TargetStandin, order: dict) -> web.Response:
    target.orders.append(order)
    name = order.get("id", "")
    headers = _own_headers(target)
    if order["op"] == "release":
        target.memory.pop(name, None)
        return web.json_response({"free": 0}, headers=headers)
    others = sum(v for k, v in target.memory.items() if k != name)
    if others + order["tokens"] > target.kv_tokens:
        return web.json_response({"free": 0}, status=409, headers=headers)
    target.memory[name] = order["tokens"]
    left = target.kv_tokens - others
    return web.json_response({"free": left}, headers=headers)
