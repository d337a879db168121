"""Adds what an instance knows to its digests, and merges what peers know.

This is evidence about requests that crash targets, rate limits that targets
name, which targets are cold, which said that they drain, and which data centres
operators evacuate. Unlike the work in a digest it holds whatever the order of
messages.
"""

from copperloom import logs
from copperloom.decisions import (
    backoff,
    cold_start,
    crash_log,
    drain_notices,
    registry,
    target_limits,
    target_speed,
    turns,
)
from copperloom.decisions.sharing import Occasion
from copperloom.ingress import (
    cold_targets,
    datagrams,
    draining_targets,
    evacuations,
    limit_grants,
    quarantines,
    recipients,
    removed_targets,
    target_backoff,
    target_speeds,
    wire_knowledge,
)
from copperloom.ingress.state import IngressState, is_large_fleet

__all__ = ["add", "apply"]

# Requests and parts, limits, cold targets and notices that fit into one
# message.
_MAX_REQUESTS = 60
_MAX_LIMITS = 60
_MAX_COLD = 120
_MAX_NOTICES = 200
_MAX_HOLDS = 60


def add(
    state: IngressState,
    digest: datagrams.Digest,
    now: float,
    occasion: Occasion,
) -> None:
    """Adds to a digest what its receivers need.

    Args:
        state: The instance's state.
        digest: The digest.
        now: Monotonic time.
        occasion: The kind of message.
    """
    for expired in crash_log.expire(state.crashes, now):
        logs.event("quarantine_expired", digest=expired.hex())
        state.quarantine_changed.set()
    evidence = crash_log.to_share(state.crashes, now, _MAX_REQUESTS, occasion)
    digest.evidence = [
        wire_knowledge.encode_evidence(request, known, now)
        for request, known in evidence.items()
    ]
    if occasion is Occasion.BROADCAST and len(evidence) == _MAX_REQUESTS:
        # The rest follows in the next message.
        state.digest_due.set()
    digest.short_services = turns.short_services(state.turns, now)
    digest.evidence_loaded = state.quarantines_loaded.is_set()
    limits = target_limits.to_share(state.limits, now, _MAX_LIMITS, occasion)
    digest.limits = [
        wire_knowledge.encode_limit(target, report)
        for target, report in limits.items()
    ]
    if state.evacuations.known:
        digest.evacuations = evacuations.to_share(state, now, occasion)
    colds = cold_start.to_share(state.limits.cold, now, _MAX_COLD, occasion)
    digest.cold = [
        wire_knowledge.encode_cold(target, report)
        for target, report in colds.items()
    ]
    if state.removed_targets.removals:
        digest.removals = removed_targets.to_share(state, now)
    if occasion is Occasion.BROADCAST:
        digest.speeds = [
            wire_knowledge.WireSpeed(o.target, o.kind, round(o.value, 2))
            for o in target_speed.take_unshared(state.speeds)
        ]
    digest.holds = backoff.to_share(state.backoff, now, _MAX_HOLDS, occasion)
    if state.targets.drain_notices.notices:
        digest.draining_targets = drain_notices.to_share(
            state.targets.drain_notices,
            registry.ready_incarnations(state.targets),
            now,
            _MAX_NOTICES,
            occasion,
        )


def apply(state: IngressState, digest: datagrams.Digest, now: float) -> None:
    """Merges what a peer knows; owners of a large fleet pass on what is new.

    Only they receive the digests of all instances.
    """
    if digest.evidence_loaded:
        state.quarantines_loaded.set()
    known = state.table.services.keys()
    turns.record_short(state.turns, known & set(digest.short_services), now)
    target_speeds.apply(state, digest.speeds, now)
    target_backoff.apply(state, digest.holds, now, digest.sender.instance)
    removed_targets.apply(
        state, digest.removals, now, source=digest.sender.instance
    )
    if not (
        digest.evidence
        or digest.limits
        or digest.draining_targets
        or digest.evacuations
        or digest.cold
    ):
        return
    forwards = is_large_fleet(state) and recipients.owns_local_shards(
        state, now
    )
    sender = digest.sender.instance
    changed = False
    for wire in digest.evidence:
        evidence = wire_knowledge.decode_evidence(wire, now)
        changed |= quarantines.apply(
            state, wire.digest, evidence, now, source=sender, forwards=forwards
        )
    for wire in digest.limits:
        changed |= limit_grants.apply(
            state, wire, now, source=sender, forwards=forwards
        )
    for wire in digest.cold:
        changed |= cold_targets.apply(
            state, wire, now, source=sender, forwards=forwards
        )
    for target in digest.draining_targets:
        changed |= draining_targets.apply(
            state, target, now, source=sender, forwards=forwards
        )
    changed |= evacuations.apply_peer(
        state, digest.evacuations, now, source=sender, forwards=forwards
    )
    if changed and forwards:
        state.digest_due.set()
