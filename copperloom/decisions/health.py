"""Which targets have failed of late, and how much that counts against them.

Made for a target that fails a part of its requests while it calls itself
healthy, or hangs: with nothing in progress it looks like the best one and
draws requests that fail. Each failure adds a penalty to its cost that halves
every few seconds; a target is never shut out for good, because a fault that
hits many targets at once would leave none, and because only new requests show
that it works again.
"""

import dataclasses

__all__ = [
    "Health",
    "record_failure",
    "apply_peer_penalties",
    "penalty",
    "reported_penalty",
    "record_success",
    "apply_report",
    "failures_to_report",
    "penalties_to_share",
]

# Half of a penalty is forgotten in this time: a fault that lasts is found
# again by one request in about three half-lives.
HALF_LIFE_S = 3.0
# A target that could not be reached works for nobody; one that answered with
# a failure works for some.
UNREACHABLE = 3.0
BROKEN = 1.0
# One that writes slowly makes all that come late.
SLOW = 2.0
# An answer takes away this share: two in a row clear most of a failure.
SUCCESS_FACTOR = 0.6
MAX_PENALTY = 12.0
# Penalties from here on are told to peers: two failures within some seconds,
# or one of a kind that hits all callers.
MIN_SHARED_PENALTY = 1.0
# Those from here on are reported to owners, which place for their peers: a
# failure that each peer met once only shows when they are added up.
MIN_REPORTED_PENALTY = 0.2
# What a peer saw counts for less than what was seen here: a fault may be that
# of the peer's network, or hit only callers of its data centre.
PEER_DISCOUNT = 0.7


@dataclasses.dataclass(slots=True)
class Health:
    """The penalty of one target.

    Attributes:
        points: Penalty at `at`.
        at: Monotonic time.
    """

    points: float = 0.0
    at: float = 0.0


def penalty(known: Health | None, now: float) -> float:
    """Returns the penalty now; 0 for a target without failures."""
    if known is None or not known.points:
        return 0.0
    return known.points * 0.5 ** ((now - known.at) / HALF_LIFE_S)


def record_failure(known: Health, now: float, points: float = BROKEN) -> None:
    """Notes a failure."""
    known.points = min(MAX_PENALTY, penalty(known, now) + points)
    known.at = now


def record_success(known: Health, now: float) -> None:
    """Notes an answer."""
    known.points = penalty(known, now) * (1.0 - SUCCESS_FACTOR)
    known.at = now


def penalties_to_share(seen: dict[str, Health], now: float) -> dict[str, float]:
    """Returns the penalties by target that peers should know of.

    Only what was seen here is told, never what was heard: a rumour would
    otherwise keep itself alive.
    """
    points = {name: penalty(known, now) for name, known in seen.items()}
    return {name: p for name, p in points.items() if p >= MIN_SHARED_PENALTY}


def apply_peer_penalties(
    heard: dict[str, Health], told: dict[str, float], now: float
) -> None:
    """Takes over penalties that a peer tells; the worst word counts."""
    for name, points in told.items():
        known = heard.setdefault(name, Health())
        known.points = max(
            penalty(known, now), min(MAX_PENALTY, points * PEER_DISCOUNT)
        )
        known.at = now


def failures_to_report(seen: dict[str, Health], now: float) -> dict[str, float]:
    """Returns the penalties by target that owners should know of."""
    points = {name: penalty(known, now) for name, known in seen.items()}
    return {name: p for name, p in points.items() if p >= MIN_REPORTED_PENALTY}


def apply_report(
    reports: dict[str, dict[str, Health]],
    peer: str,
    told: dict[str, float],
    now: float,
) -> None:
    """Takes over what a peer has met, in place of what it reported before.

    Args:
        reports: Penalties by target and peer.
        peer: The peer.
        told: Its penalties by target.
        now: Monotonic time.
    """
    for target, by_peer in list(reports.items()):
        by_peer.pop(peer, None)
        if not by_peer:
            del reports[target]
    for target, points in told.items():
        reports.setdefault(target, {})[peer] = Health(points, now)


def reported_penalty(by_peer: dict[str, Health], now: float) -> float:
    """Returns the penalty that all peers' reports on a target come to.

    An owner goes by them as if it had met the failures itself.
    """
    return min(
        MAX_PENALTY, sum(penalty(known, now) for known in by_peer.values())
    )
