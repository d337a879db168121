"""The digest that entries exchange: what it holds and how it is read."""

from copperloom.decisions import scheduler, target_drain
from copperloom.peers import peers_pb2

__all__ = ["NEVER_MS", "add_peers", "confirmed_at", "make"]

NEVER_MS = 2**32 - 1
# The digest goes to a few peers each half second and has to fit the budget
# for control: the targets with most work matter most for placing.
_MOST_LOADS = 12
_MOST_LEAVING = 20
_MOST_DEMANDS = 8
_MOST_PEERS = 8


def make(state, now: float) -> peers_pb2.Digest:
    """Makes this entry's digest.

    Args:
        state: The entry's state.
        now: Monotonic seconds.
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
    digest: peers_pb2.Digest, state, asked: peers_pb2.Digest
) -> peers_pb2.Digest:
    """Adds a few members for an entry that knows fewer than this one.

    An entry that starts while the platform's list is out of reach learns the
    others from those that know its address and ask it.
    """
    if asked.known_members >= digest.known_members:
        return digest
    others = [m for m in state.members.values() if m.instance != asked.instance]
    count = min(_MOST_PEERS, len(others))
    for member in state.membership.random.sample(others, count):
        digest.peers.add(
            instance=member.instance,
            data_centre=member.data_centre,
            address=member.address,
        )
    return digest


def confirmed_at(reply: peers_pb2.Digest, asked_at: float) -> float:
    """Returns when a reply's version was proved the newest.

    The peer's age was right at some time after it was asked, so counting back
    from the asking is never too late, however long the reply took.
    """
    if reply.confirmed_age_ms == NEVER_MS:
        return float("-inf")
    return asked_at - reply.confirmed_age_ms / 1000


def _age_ms(state, now: float) -> int:
    if not state.cfg_loaded or state.confirmed_at == float("-inf"):
        return NEVER_MS
    # Rounded up: an age told too short would prove too much.
    return min(NEVER_MS, max(0, int((now - state.confirmed_at) * 1000) + 1))


def _departures(state) -> list[peers_pb2.Departure]:
    marks = target_drain.drain_marks(state.target_drain, state.cfg)
    newest = sorted(marks.items(), key=lambda pair: -pair[1])
    return [
        peers_pb2.Departure(target=name, version=version)
        for name, version in newest[:_MOST_LEAVING]
    ]


def _loads(state) -> list[peers_pb2.TargetLoad]:
    backlog = scheduler.backlog(state.sched)
    most = sorted(backlog.items(), key=lambda pair: -pair[1][0])
    return [
        peers_pb2.TargetLoad(target=name, streams=n, prefill_tokens=tokens)
        for name, (n, tokens) in most[:_MOST_LOADS]
    ]


def _demand(state, now: float) -> list[peers_pb2.Demand]:
    """Returns the greatest demands; small ones change nobody's share much."""
    demand = scheduler.demand(state.sched, now)
    most = sorted(demand.items(), key=lambda pair: -pair[1])
    return [
        peers_pb2.Demand(organisation=name, tokens_per_s=rate)
        for name, rate in most[:_MOST_DEMANDS]
    ]
