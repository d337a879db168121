"""Builds and interprets the digests that instances exchange."""

from copperloom.decisions import scheduler, target_drain
from copperloom.peers import peers_pb2

__all__ = ["NEVER_MS", "add_peers", "confirmed_at", "make"]

NEVER_MS = 2**32 - 1
# Bounds the size of a digest, which goes to several peers at short intervals.
# The targets with the most work matter most for placement.
_MAX_LOADS = 12
_MAX_DEPARTURES = 20
_MAX_DEMANDS = 8
_MAX_PEERS = 8


def make(state, now: float) -> peers_pb2.Digest:
    """Builds the digest of this instance.

    Args:
        state: The instance's state.
        now: Monotonic time in seconds.
    """
    own = state.settings.entry
    return peers_pb2.Digest(
        instance=own.instance,
        boot=state.boot,
        data_centre=own.data_centre,
        address=state.peers_address,
        leaving=state.draining,
        config_version=state.cfg.version if state.cfg_loaded else 0,
        confirmed_age_ms=_age_ms(state, now),
        leaving_targets=_departures(state),
        loads=_loads(state),
        demand=_demand(state, now),
        known_members=len(state.members) + 1,
    )


def add_peers(
    digest: peers_pb2.Digest, state, request: peers_pb2.Digest
) -> peers_pb2.Digest:
    """Adds a few members to a digest for a peer that knows fewer of them.

    An instance that starts while the platform's list is unavailable discovers
    the others through those that know its address and call it.

    Args:
        digest: The reply to the peer.
        state: The instance's state.
        request: The peer's digest.

    Returns:
        The reply with the members.
    """
    if request.known_members >= digest.known_members:
        return digest
    others = [
        m for m in state.members.values() if m.instance != request.instance
    ]
    count = min(_MAX_PEERS, len(others))
    for member in state.membership.random.sample(others, count):
        digest.peers.add(
            instance=member.instance,
            data_centre=member.data_centre,
            address=member.address,
        )
    return digest


def confirmed_at(reply: peers_pb2.Digest, requested_at: float) -> float:
    """Returns the time at which a reply's version was known to be the newest.

    The age in the reply was determined after the request was sent, so the
    result is never too late, however long the reply took.

    Args:
        reply: The peer's digest.
        requested_at: Monotonic time at which the request was sent.
    """
    if reply.confirmed_age_ms == NEVER_MS:
        return float("-inf")
    return requested_at - reply.confirmed_age_ms / 1000


def _age_ms(state, now: float) -> int:
    if not state.cfg_loaded or state.confirmed_at == float("-inf"):
        return NEVER_MS
    # Rounded up: with too short an age, peers would rely on the version for
    # longer than it was confirmed.
    return min(NEVER_MS, max(0, int((now - state.confirmed_at) * 1000) + 1))


def _departures(state) -> list[peers_pb2.Departure]:
    marks = target_drain.drain_marks(state.target_drain, state.cfg)
    newest = sorted(marks.items(), key=lambda pair: -pair[1])
    return [
        peers_pb2.Departure(target=name, version=version)
        for name, version in newest[:_MAX_DEPARTURES]
    ]


def _loads(state) -> list[peers_pb2.TargetLoad]:
    backlog = scheduler.backlog(state.sched)
    largest = sorted(backlog.items(), key=lambda pair: -pair[1][0])
    return [
        peers_pb2.TargetLoad(target=name, streams=n, prefill_tokens=tokens)
        for name, (n, tokens) in largest[:_MAX_LOADS]
    ]


def _demand(state, now: float) -> list[peers_pb2.Demand]:
    """Returns the largest demands; small ones hardly change any share."""
    demand = scheduler.demand(state.sched, now)
    largest = sorted(demand.items(), key=lambda pair: -pair[1])
    return [
        peers_pb2.Demand(organisation=name, tokens_per_s=rate)
        for name, rate in largest[:_MAX_DEMANDS]
    ]
