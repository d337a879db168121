"""Asks the owner of a target's schedule when a request may be sent to it."""

import asyncio

from copperloom import logs, routing
from copperloom.decisions import (
    cold_start,
    limit_schedule,
    members,
    registry,
    shards,
    target_limits,
)
from copperloom.ingress import (
    cold_grants,
    cold_targets,
    datagram_calls,
    datagrams,
    placement_rpc,
    wire_knowledge,
)
from copperloom.ingress.state import IngressState, is_large_fleet

__all__ = ["apply", "ask", "handle_request", "log_change", "owner_of"]

# Covers a round trip between data centres.
_REPLY_TIMEOUT_S = 0.025
# Longer, since a cold target gets few grants, and those whose replies come too
# late are lost.
_COLD_REPLY_TIMEOUT_S = 0.05
# A datagram may be lost; one that was received twice wastes a send at most.
_MAX_ASKED = 2
_MS = 1000.0
# Stands for a target that names no limit.
_NO_LIMIT_REVISION = 0


def owner_of(
    state: IngressState, target: routing.TargetEntry, now: float
) -> str:
    """Returns the instance that schedules the sends to a target.

    In a large fleet it is one of the owners of the target's data centre, which
    all instances know.
    """
    if cold_start.is_cold(state.limits.cold, registry.incarnation(target), now):
        return cold_grants.owner_of(state, target, now)
    own = state.settings.instance
    live = {m.instance for m in members.live(state.members, now)}
    names = [own, *live]
    if is_large_fleet(state):
        shard = shards.Shard("", target.data_centre)
        order = placement_rpc.owner_order(state, shard)
        first = [n for n in order if n == own or n in live]
        names = (first or order)[: shards.OWNERS]
    instances = [shards.Instance(name, 1.0) for name in names]
    return shards.rank(registry.incarnation(target), instances)[0]


async def ask(
    state: IngressState, owner: str, incarnation: str, max_wait_s: float
) -> limit_schedule.Grant | None:
    """Asks the owner of a limit; returns None if it does not reply."""
    if owner == state.settings.instance:
        now = asyncio.get_running_loop().time()
        return cold_grants.schedule(state, incarnation, now, max_wait_s)
    limit = state.limits.limits.get(incarnation)
    report = target_limits.Report(None, _NO_LIMIT_REVISION)
    if limit is not None:
        report = target_limits.Report(limit.per_s, limit.revision)
    cold = _cold_report(state, incarnation)

    def make_request(call_id: int) -> datagrams.SendRequest:
        return datagrams.SendRequest(
            sender=state.settings.instance,
            datagrams=state.datagrams,
            call_id=call_id,
            limit=wire_knowledge.encode_limit(incarnation, report),
            max_wait_ms=int(max_wait_s * _MS),
            cold=cold,
        )

    reply = await datagram_calls.call(
        state,
        state.members[owner].datagrams,
        make_request,
        _REPLY_TIMEOUT_S if cold is None else _COLD_REPLY_TIMEOUT_S,
        tries=_MAX_ASKED,
    )
    if reply is None:
        return None
    delay_s = None if reply.delay_ms is None else reply.delay_ms / _MS
    return limit_schedule.Grant(delay_s, reply.next_ms / _MS)


def _cold_report(
    state: IngressState, incarnation: str
) -> wire_knowledge.WireCold | None:
    cold = state.limits.cold.colds.get(incarnation)
    if cold is None:
        return None
    now = asyncio.get_running_loop().time()
    report = cold_start.report_of(cold, now)
    return wire_knowledge.encode_cold(incarnation, report)


def handle_request(state: IngressState, request: datagrams.SendRequest) -> None:
    """Schedules a peer's send, and replies to the peer."""
    now = asyncio.get_running_loop().time()
    sender = request.sender
    if request.limit.revision != _NO_LIMIT_REVISION:
        apply(state, request.limit, now, source=sender, forwards=False)
    if request.cold is not None:
        cold_targets.apply(
            state, request.cold, now, source=sender, forwards=False
        )
    grant = cold_grants.schedule(
        state, request.limit.target, now, request.max_wait_ms / _MS
    )
    delay_ms = None if grant.delay_s is None else round(grant.delay_s * _MS)
    reply = datagrams.SendReply(
        call_id=request.call_id,
        owner=state.settings.instance,
        delay_ms=delay_ms,
        next_ms=round(grant.next_s * _MS),
    )
    state.send(datagrams.encode(reply), request.datagrams)


def apply(
    state: IngressState,
    wire: wire_knowledge.WireLimit,
    now: float,
    *,
    source: str,
    forwards: bool,
) -> bool:
    """Merges a limit that a peer has sent.

    Args:
        state: The instance's state.
        wire: The limit.
        now: Monotonic time.
        source: Name of the peer.
        forwards: Whether this instance passes on what is new to it.

    Returns:
        Whether the limit has changed.
    """
    report = wire_knowledge.decode_limit(wire)
    changed = target_limits.merge(
        state.limits, wire.target, report, now, forwards=forwards
    )
    if changed:
        log_change(state, wire.target, source=source)
    return changed


def log_change(state: IngressState, incarnation: str, **source) -> None:
    """Logs the limit of a target after a change."""
    limit = state.limits.limits[incarnation]
    logs.event(
        "limit_changed",
        target=incarnation,
        per_s=limit.per_s,
        revision=limit.revision,
        **source,
    )
    # Requests may wait for a target that has room again.
    state.changed.set()
