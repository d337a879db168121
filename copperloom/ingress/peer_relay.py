"""Has a peer send a request, while this instance reaches no target.

The peer places the request, applies all rules to it, and returns the answer as
it comes. A request is offered without its body first: until a peer has accepted
it, it can't run there, and the next peer may be asked.
"""

import asyncio
from collections.abc import Awaitable, Container

from copperloom import exception, logs
from copperloom.decisions import members, peer_relay
from copperloom.ingress import (
    allowed_targets,
    exchange,
    long_answers,
    reachability_checks,
    responses,
    retry,
)
from copperloom.ingress.state import IngressState, Member, is_large_fleet
from copperloom.peers import peers_pb2, relay_messages, relay_stream
from copperloom.utils import waits

__all__ = ["PROGRESS_S", "relay", "unreachable_error"]

# Covers a new connection and a round trip to another data centre; longer if no
# other peer is left.
OFFER_TIMEOUT_S = 0.35
LAST_OFFER_TIMEOUT_S = 1.0
# Interval at which the peer says that it still works on a request.
PROGRESS_S = 0.4
# A peer that was silent for this time is replaced if the request may run again;
# otherwise after the longer time, as it may have been suspended.
SILENCE_S = 1.6
LONG_SILENCE_S = 4.0
# Peers that are offered one request at most.
MAX_OFFERS = 6
# For this time a peer that did not accept a request is asked only if there is
# no other one; for the longer time if it is silent or partitioned as well.
REFUSED_S = 0.1
SILENT_S = 1.0
# Requests are refused at once for this time if all peers are partitioned.
PAUSE_S = 0.3
_BODY_CHUNK_BYTES = 64 * 1024
_MS = 1000.0
_UNREACHABLE_RETRY_S = (0.8, 1.6)
_OVERLOADED_RETRY_S = (0.2, 0.5)
# Results of an offer beside the peers' refusals.
_ANSWERED = "answered"
_BROKEN = "broken"
_STOPPING = "stopping"
_UNAVAILABLE = "unavailable"


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
    results: dict[str, str] = {}
    while len(results) < MAX_OFFERS:
        candidates = _candidates(ex, results, _now())
        chosen = peer_relay.choose(candidates, state.rng)
        if chosen is None:
            break
        member = state.members[chosen.name]
        timeout_s = OFFER_TIMEOUT_S
        if len(candidates) == 1:
            timeout_s = LAST_OFFER_TIMEOUT_S
        result = await _try(ex, member, timeout_s)
        if result == _ANSWERED:
            return
        results[member.instance] = result
    if set(results.values()) == {peer_relay.Refusal.PARTITIONED}:
        # Later requests would only repeat the same offers.
        state.relays_paused_until = _now() + PAUSE_S
    raise unreachable_error(ex)


async def _try(ex: exchange.Exchange, member: Member, timeout_s: float) -> str:
    """Relays a request through a peer, which has to accept it in time.

    Returns:
        `_ANSWERED`, or why another peer may be asked.
    """
    try:
        result = await _relay_by(ex, member, timeout_s)
    except exception.TargetsUnreachableError:
        if ex.run is not exception.Run.NOT_RUN:
            raise
        result = peer_relay.Refusal.PARTITIONED
    except exception.DrainingError:
        if ex.run is not exception.Run.NOT_RUN:
            raise
        result = _STOPPING
    except exception.StreamBrokenError as error:
        _log(ex, member, _BROKEN, error=str(error))
        is_final = long_answers.is_final(ex, error)
        if is_final or not ex.route.repeatable:
            raise
        if not retry.take_repeat_by_peer(ex):
            raise
        return _BROKEN
    _log(ex, member, result)
    return result


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


def _candidates(
    ex: exchange.Exchange, tried: Container[str], now: float
) -> list[peer_relay.Candidate]:
    state = ex.state
    own = state.settings.data_centre
    allowed = allowed_targets.peer_data_centres(ex)
    return [
        peer_relay.Candidate(
            name=m.instance,
            is_local=m.data_centre == own,
            is_preferred=_is_preferred(ex, m, now),
            load=_load(state, m),
        )
        for m in state.members.values()
        if m.calls
        and m.instance not in tried
        and not m.reaches_none
        and (allowed is None or m.data_centre in allowed)
    ]


def _is_preferred(ex: exchange.Exchange, member: Member, now: float) -> bool:
    if member.draining or now < member.relay_refused_until:
        return False
    if members.is_live(member, now):
        return member.routes_version >= ex.table_version
    # In a large fleet an instance hears only from owners, who have other work.
    return is_large_fleet(ex.state)


def _load(state: IngressState, member: Member) -> float:
    """Returns a peer's requests in progress per core, as far as is known."""
    report = state.inflight.peers.get(member.instance)
    works = len(report.work) if report is not None else 0
    return (works + member.relayed) / max(member.cores, 0.1)


async def _relay_by(
    ex: exchange.Exchange, member: Member, timeout_s: float
) -> str:
    """Relays a request through a peer; returns the result."""
    member.relayed += 1
    try:
        async with relay_stream.open_stream(member.calls) as stream:
            refusal = await _offer(ex, member, stream, timeout_s)
            if refusal:
                return refusal
            run_before = ex.run
            ex.sends += 1
            ex.relayed_to = member.instance
            ex.run = exception.Run.MAY_HAVE_RUN
            await _call(_send_body(stream, ex.body))
            await _receive(ex, stream, run_before)
            return _ANSWERED
    finally:
        member.relayed -= 1


async def _offer(
    ex: exchange.Exchange, member: Member, stream, timeout_s: float
) -> str:
    """Offers a request; returns why the peer refuses it, "" if it accepts."""
    now = _now()
    offer = _make_offer(ex, now)
    task = asyncio.ensure_future(_receive_verdict(stream, offer))
    refusal = _UNAVAILABLE
    if await waits.wait(task, timeout_s):
        refusal = task.result()
    if refusal:
        is_long = refusal in (_UNAVAILABLE, peer_relay.Refusal.PARTITIONED)
        pause_s = SILENT_S if is_long else REFUSED_S
        member.relay_refused_until = now + pause_s
    return refusal


async def _receive_verdict(stream, offer: peers_pb2.RelayOffer) -> str:
    try:
        await stream.send_message(peers_pb2.RelayRequest(offer=offer))
        reply = await stream.recv_message()
    except relay_stream.ERRORS:
        return _UNAVAILABLE
    return _UNAVAILABLE if reply is None else reply.verdict.refusal


def _make_offer(ex: exchange.Exchange, now: float) -> peers_pb2.RelayOffer:
    return peers_pb2.RelayOffer(
        instance=ex.state.settings.instance,
        request=ex.id,
        method=ex.http.method,
        raw_path=relay_messages.encode_text(ex.http.raw_path),
        headers=relay_messages.encode_headers(ex.http.headers),
        routes_version=ex.table_version,
        waited_ms=int((now - ex.arrived) * _MS),
        time_left_ms=max(0, int((ex.deadline - now) * _MS)),
        last_event_id=ex.last_event,
        sent_to=sorted(ex.sent_to),
    )


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
    buffer = long_answers.BodyBuffer(ex, is_announced=False)
    bounds = long_answers.StreamBounds(ex)
    while True:
        reply = await _next_reply(ex, stream)
        part = reply.WhichOneof("part")
        if part == "head":
            head = relay_messages.read_head(reply.head)
        elif part == "data" and responses.is_stream(head):
            await _send_events(ex, head, bounds, reply.data)
        elif part == "data":
            buffer.add(reply.data)
        elif part == "end":
            break
    if reply.end.code:
        raise _read_error(ex, reply.end, run_before)
    if responses.is_stream(head):
        rest = long_answers.finish(bounds)
        await responses.end_stream(ex, head, _now(), rest=rest)
    else:
        responses.set_plain(ex, head, buffer.finish(), _now())


async def _send_events(
    ex: exchange.Exchange,
    head: responses.Head,
    bounds: long_answers.StreamBounds,
    data: bytes,
) -> None:
    complete = long_answers.add_events(bounds, data)
    if complete is not None:
        await responses.send_events(ex, head, complete, _now())


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


def _read_error(
    ex: exchange.Exchange, end, run_before: exception.Run
) -> exception.CopperloomError:
    """Returns a peer's error; an earlier attempt may have run all the same."""
    error = relay_messages.read_error(end)
    if error.run is exception.Run.NOT_RUN:
        ex.run = run_before
    return error
