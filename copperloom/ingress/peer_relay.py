"""Has a peer send a request, while this instance reaches no target.

The peer places the request, applies all rules to it, and returns the answer as
it comes. A request is offered without its body first: until a peer has accepted
it, it can't run there, and the next peer may be asked.
"""

import asyncio
from collections.abc import Awaitable

from aiohttp import web

from copperloom import exception, logs
from copperloom.decisions import peer_relay
from copperloom.ingress import events, exchange, reachability_checks, retry
from copperloom.ingress.state import (
    IngressState,
    Member,
    is_large_fleet,
    live_members,
)
from copperloom.peers import peers_pb2, relay_messages, relay_stream

__all__ = ["PROGRESS_S", "relay", "unreachable_error"]

# Covers a new connection and a round trip to another data centre.
OFFER_TIMEOUT_S = 0.35
# Interval at which the peer says that it still works on a request.
PROGRESS_S = 0.4
# A peer that was silent for this time is replaced if the request may run again;
# otherwise after the longer time, as it may have been suspended.
SILENCE_S = 1.6
LONG_SILENCE_S = 4.0
# Peers that are offered one request at most.
MAX_OFFERS = 6
# A peer that did not accept a request is offered no others for this time, and
# for the longer one if it is silent or partitioned as well.
REFUSED_S = 0.1
SILENT_S = 1.0
# Requests are refused at once for this time if all peers are partitioned.
PAUSE_S = 0.3
_BODY_CHUNK_BYTES = 64 * 1024
_MS = 1000.0
_EVENT_STREAM = "text/event-stream"
_UNREACHABLE_RETRY_S = (0.8, 1.6)
_OVERLOADED_RETRY_S = (0.2, 0.5)
# Errors after which another peer may serve a request that has not run.
_ELSEWHERE = (exception.TargetsUnreachableError, exception.DrainingError)


async def relay(ex: exchange.Exchange) -> None:
    """Relays a request through peers until one of them answers it.

    Raises:
        copperloom.exception.TargetsUnreachableError: No peer accepted it.
        copperloom.exception.StreamBrokenError: The peer's answer broke off.
        copperloom.exception.CopperloomError: The peer's own error.
    """
    state = ex.state
    if ex.relayed_by or _now() < state.relays_paused_until:
        raise unreachable_error(ex)
    tried: set[str] = set()
    while len(tried) < MAX_OFFERS:
        member = _choose(ex, tried, _now())
        if member is None:
            break
        tried.add(member.instance)
        try:
            if await _relay_by(ex, member):
                return
        except _ELSEWHERE as error:
            _log(ex, member, type(error).__name__)
            if ex.run is not exception.Run.NOT_RUN:
                raise
        except exception.StreamBrokenError as error:
            _log(ex, member, "broken", error=str(error))
            if not ex.route.repeatable or not retry.take_retry(ex):
                raise
    if ex.relay_refusals == {peer_relay.Refusal.PARTITIONED}:
        # Later requests would only repeat the same offers.
        state.relays_paused_until = _now() + PAUSE_S
    raise unreachable_error(ex)


def _now() -> float:
    return asyncio.get_running_loop().time()


def unreachable_error(
    ex: exchange.Exchange,
) -> exception.TargetsUnreachableError:
    """Returns the refusal of a request that reaches no target from here."""
    in_reach = reachability_checks.peers_in_reach(ex.state, _now())
    spread = _OVERLOADED_RETRY_S if in_reach else _UNREACHABLE_RETRY_S
    return exception.TargetsUnreachableError(
        "retry later: this instance reaches no target, and no other instance "
        "takes the request",
        run=ex.run,
        retry_after_s=ex.state.rng.uniform(*spread),
    )


def _choose(ex: exchange.Exchange, tried: set[str], now: float):
    state = ex.state
    live = {m.instance for m in live_members(state, now)}
    # In a large fleet an instance hears only from owners, who have other work.
    is_large = is_large_fleet(state)
    own = state.settings.data_centre
    candidates = [
        peer_relay.Candidate(
            name=m.instance,
            is_local=m.data_centre == own,
            is_live=is_large or m.instance in live,
            load=_load(state, m),
        )
        for m in state.members.values()
        if m.calls
        and m.instance not in tried
        and not (m.draining or m.reaches_none)
        and m.routes_version >= ex.table_version * (m.instance in live)
        and now >= m.relay_refused_until
    ]
    chosen = peer_relay.choose(candidates, state.rng)
    return state.members[chosen.name] if chosen is not None else None


def _load(state: IngressState, member: Member) -> float:
    """Returns a peer's requests in progress per core, as far as is known."""
    report = state.inflight.peers.get(member.instance)
    works = len(report.work) if report is not None else 0
    return (works + member.relayed) / max(member.cores, 0.1)


async def _relay_by(ex: exchange.Exchange, member: Member) -> bool:
    """Relays a request through a peer; returns False if it did not accept."""
    member.relayed += 1
    try:
        async with relay_stream.open_stream(member.calls) as stream:
            if not await _offer(ex, member, stream):
                return False
            run_before = ex.run
            ex.sends += 1
            ex.relayed_to = member.instance
            ex.run = exception.Run.MAY_HAVE_RUN
            await _call(_send_body(stream, ex.body))
            await _receive(ex, stream, run_before)
            return True
    finally:
        member.relayed -= 1


async def _offer(ex: exchange.Exchange, member: Member, stream) -> bool:
    """Offers a request; returns whether the peer accepts it."""
    now = _now()
    offer = peers_pb2.RelayOffer(
        instance=ex.state.settings.instance,
        method=ex.http.method,
        raw_path=relay_messages.encode_text(ex.http.raw_path),
        headers=relay_messages.encode_headers(ex.http.headers),
        routes_version=ex.table_version,
        waited_ms=int((now - ex.arrived) * _MS),
        time_left_ms=max(0, int((ex.deadline - now) * _MS)),
        last_event_id=ex.last_event,
        sent_to=sorted(ex.sent_to),
    )
    try:
        async with asyncio.timeout(OFFER_TIMEOUT_S):
            await stream.send_message(peers_pb2.RelayRequest(offer=offer))
            reply = await stream.recv_message()
    except (*relay_stream.ERRORS, TimeoutError) as error:
        member.relay_refused_until = now + SILENT_S
        _log(ex, member, "unavailable", error=repr(error))
        return False
    refusal = reply.verdict.refusal if reply is not None else "ended"
    if refusal:
        is_lost = refusal == peer_relay.Refusal.PARTITIONED
        member.relay_refused_until = now + (SILENT_S if is_lost else REFUSED_S)
        ex.relay_refusals.add(refusal)
    _log(ex, member, refusal or "accepted")
    return not refusal


def _log(ex: exchange.Exchange, member: Member, result: str, **facts) -> None:
    ex.state.metrics.relayed.labels("sent", result).inc()
    logs.event(
        "request_relayed",
        request=ex.id,
        peer=member.instance,
        result=result,
        **facts,
    )


async def _send_body(stream, body: bytes) -> None:
    for begin in range(0, len(body), _BODY_CHUNK_BYTES):
        chunk = body[begin : begin + _BODY_CHUNK_BYTES]
        await stream.send_message(peers_pb2.RelayRequest(body=chunk))
    await stream.send_message(peers_pb2.RelayRequest(is_last=True), end=True)


async def _call(pending: Awaitable):
    """Awaits a step of the exchange with a peer.

    Raises:
        copperloom.exception.StreamBrokenError: The connection failed.
    """
    try:
        return await pending
    except relay_stream.ERRORS as error:
        raise _broken(error) from error


def _broken(error: Exception) -> exception.StreamBrokenError:
    return exception.StreamBrokenError(f"peer failed: {error!r}")


async def _receive(
    ex: exchange.Exchange, stream, run_before: exception.Run
) -> None:
    """Receives the answer of a peer that has accepted a request."""
    head = None
    chunks = []
    splitter = events.Splitter()
    while True:
        reply = await _next_reply(ex, stream)
        part = reply.WhichOneof("part")
        if part == "head":
            head = reply.head
            _check_head(ex, head)
        elif part == "data" and _is_stream(head):
            await _forward_events(ex, head, splitter, reply.data)
        elif part == "data":
            chunks.append(reply.data)
        elif part == "end":
            break
    if reply.end.code:
        raise _read_error(ex, reply.end, run_before)
    await _finish(ex, head, b"".join(chunks))


async def _next_reply(ex: exchange.Exchange, stream):
    """Returns the next message of a peer that is not silent for too long."""
    limit_s = SILENCE_S if ex.route.repeatable else LONG_SILENCE_S
    try:
        async with asyncio.timeout(limit_s):
            reply = await _call(stream.recv_message())
    except TimeoutError as error:
        raise exception.StreamBrokenError(
            "peer sent nothing before the timeout", is_silent=True
        ) from error
    if reply is None:
        raise exception.StreamBrokenError("peer ended before its answer")
    return reply


def _is_stream(head) -> bool:
    if head is None or head.status >= 300:
        return False
    content_type = relay_messages.decode_headers(head.headers)
    return content_type.get("Content-Type", "").startswith(_EVENT_STREAM)


def _check_head(ex: exchange.Exchange, head) -> None:
    """Checks that an answer may continue what the caller has received."""
    if ex.response is not None and not _is_stream(head):
        raise exception.StreamBrokenError(
            "target sent a plain answer instead of resuming the stream"
        )


async def _forward_events(ex, head, splitter, data: bytes) -> None:
    complete = events.feed(splitter, data)
    if complete is None:
        return
    exchange.record_event(ex, _now())
    await _begin_response(ex, head)
    await ex.response.write(complete.data)
    if complete.last_id:
        ex.last_event = complete.last_id


async def _begin_response(ex: exchange.Exchange, head) -> None:
    if ex.response is not None:
        return
    await exchange.begin_stream(
        ex,
        head.status,
        relay_messages.decode_text(head.reason),
        relay_messages.decode_headers(head.headers),
    )


async def _finish(ex: exchange.Exchange, head, body: bytes) -> None:
    if _is_stream(head):
        await _begin_response(ex, head)
        await ex.response.write_eof()
        return
    ex.first_at = _now()
    ex.response = web.Response(
        status=head.status,
        reason=relay_messages.decode_text(head.reason),
        body=body,
        headers=relay_messages.decode_headers(head.headers),
    )


def _read_error(
    ex: exchange.Exchange, end, run_before: exception.Run
) -> exception.CopperloomError:
    """Returns a peer's error; an earlier attempt may have run all the same."""
    error = relay_messages.read_error(end)
    if error.run is exception.Run.NOT_RUN:
        ex.run = run_before
    return error
