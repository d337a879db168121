"""Penalties for targets that failed recently.

A target that fails quickly or hangs while it reports itself healthy has little
work in progress, so it looks like the best choice and attracts requests that
fail. Each failure adds a penalty to its cost, which decays exponentially. A
target is never excluded permanently, because a fault may hit many targets at
once, and because only new requests show that a target has recovered.
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

# A penalty halves in this time. It bounds how often a persistent fault is
# probed by a request. A fault that lasts is found again by one request in about
# three half-lives.
HALF_LIFE_S = 3.0
# An unreachable target fails all requests; one that responds with an error may
# serve some.
UNREACHABLE_PENALTY = 3.0
BROKEN_PENALTY = 1.0
# Slow decoding makes all requests on the target miss their objectives.
SLOW_PENALTY = 2.0
# Share of the penalty that a successful response removes. Two in a row clear
# most of a failure.
SUCCESS_REDUCTION = 0.6
MAX_PENALTY = 12.0
# Minimum penalty that is shared with peers: a single error response decays
# below it at once. Two failures within some seconds exceed it, and so does one
# of a kind that hits all requests.
MIN_SHARED_PENALTY = 1.0
# Minimum penalty that is reported to owners. It is lower, since owners add up
# the reports: a fault that each peer saw once is visible only in the sum.
MIN_REPORTED_PENALTY = 0.2
# A peer's observations count for less than own ones: the fault may lie in the
# peer's network, or affect only its data centre.
PEER_DISCOUNT = 0.7


@dataclasses.dataclass(slots=True)
class Health:
    """The penalty of one target.

    Attributes:
        points: The penalty as of `at`.
        at: Monotonic time of the last update.
    """

    points: float = 0.0
    at: float = 0.0


def penalty(known: Health | None, now: float) -> float:
    """Returns the current penalty; 0 for a target without failures."""
    if known is None or not known.points:
        return 0.0
    return known.points * 0.5 ** ((now - known.at) / HALF_LIFE_S)


def record_failure(
    known: Health, now: float, points: float = BROKEN_PENALTY
) -> None:
    """Adds the penalty of a failure."""
    known.points = min(MAX_PENALTY, penalty(known, now) + points)
    known.at = now


def record_success(known: Health, now: float) -> None:
    """Reduces the penalty after a successful response."""
    known.points = penalty(known, now) * (1.0 - SUCCESS_REDUCTION)
    known.at = now


def penalties_to_share(
    observed: dict[str, Health], now: float
) -> dict[str, float]:
    """Returns the penalties by target to share with peers.

    Only own observations are shared: forwarded ones would circulate between
    peers and never decay.
    """
    points = {name: penalty(known, now) for name, known in observed.items()}
    return {name: p for name, p in points.items() if p >= MIN_SHARED_PENALTY}


def apply_peer_penalties(
    from_peers: dict[str, Health], penalties: dict[str, float], now: float
) -> None:
    """Applies penalties shared by a peer; the highest one counts."""
    for name, points in penalties.items():
        known = from_peers.setdefault(name, Health())
        known.points = max(
            penalty(known, now), min(MAX_PENALTY, points * PEER_DISCOUNT)
        )
        known.at = now


def failures_to_report(
    observed: dict[str, Health], now: float
) -> dict[str, float]:
    """Returns the penalties by target to report to owners."""
    points = {name: penalty(known, now) for name, known in observed.items()}
    return {name: p for name, p in points.items() if p >= MIN_REPORTED_PENALTY}


def apply_report(
    reports: dict[str, dict[str, Health]],
    peer: str,
    penalties: dict[str, float],
    now: float,
) -> None:
    """Replaces a peer's previous report.

    Args:
        reports: Penalties by target and peer.
        peer: Name of the peer.
        penalties: Its penalties by target.
        now: Monotonic time.
    """
    for target, by_peer in list(reports.items()):
        by_peer.pop(peer, None)
        if not by_peer:
            del reports[target]
    for target, points in penalties.items():
        reports.setdefault(target, {})[peer] = Health(points, now)


def reported_penalty(by_peer: dict[str, Health], now: float) -> float:
    """Returns the sum of the penalties that peers reported for a target.

    An owner treats them as its own observations, without the discount.
    """
    return min(
        MAX_PENALTY, sum(penalty(known, now) for known in by_peer.values())
    )
