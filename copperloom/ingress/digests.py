"""Builds the digests that an instance sends."""

from copperloom import logs
from copperloom.decisions import (
    health,
    inflight_table,
    reachability,
    registry,
    rowlog,
)
from copperloom.decisions.sharing import Occasion
from copperloom.ingress import announcements, datagrams, knowledge
from copperloom.ingress.state import (
    IngressState,
    fleet_size,
    is_large_fleet,
)

__all__ = ["encode"]


def encode(
    state: IngressState,
    now: float,
    announced: list[datagrams.Announcement],
    *,
    requests_members: bool = False,
    busy: dict[str, float] | None = None,
    occasion: Occasion = Occasion.BROADCAST,
) -> bytes:
    """Encodes the next digest of an instance.

    Args:
        state: The instance's state.
        now: Monotonic time.
        announced: Members that the receiver may not know yet.
        requests_members: Whether it asks for the members that it needs.
        busy: Utilisation of targets, by service.
        occasion: The kind of message.
    """
    state.sequence += 1
    digest = _build_digest(state, now, announced)
    digest.requests_members = requests_members
    digest.reaches_none = state.reachability.is_lost
    if is_large_fleet(state):
        digest.failures = _confirmed(
            state, health.failures_to_report(state.health, now)
        )
    digest.busy = busy or {}
    knowledge.add(state, digest, now, occasion)
    data = datagrams.encode(digest)
    if len(data) > datagrams.MAX_BYTES:
        # Versions and table state still fit without the work, and matter more.
        logs.event("digest_too_long", level="ERROR", bytes=len(data))
        digest.work.clear()
        data = datagrams.encode(digest)
    return data


def _build_digest(
    state: IngressState,
    now: float,
    announced: list[datagrams.Announcement],
) -> datagrams.Digest:
    return datagrams.Digest(
        sender=announcements.own_announcement(state),
        boot=state.boot,
        sequence=state.sequence,
        routes_version=state.table.version,
        targets_version=state.targets.version.number,
        draining=state.draining,
        table_unreachable=bool(state.unreachable_tables),
        work=[
            datagrams.encode_work(w, now)
            for w in inflight_table.own_work(state.inflight)
        ],
        penalties={
            name: round(points, 1)
            for name, points in _confirmed(
                state, health.penalties_to_share(state.health, now)
            ).items()
        },
        announced=announced,
        fleet_size=fleet_size(state),
        targets_era=state.targets.version.era,
        store_era=state.store.era,
        targets_confirmed=registry.complete_to(state.targets).number,
        targets_fingerprint=rowlog.fingerprint(state.target_rows),
    )


def _confirmed(
    state: IngressState, penalties: dict[str, float]
) -> dict[str, float]:
    """Leaves out failures that may be the fault of this instance's network."""
    unconfirmed = reachability.unconfirmed(state.reachability)
    return {n: p for n, p in penalties.items() if n not in unconfirmed}
