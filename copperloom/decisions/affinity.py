"""Prefix affinity: prompts with a common prefix go to the same target.

A consistent-hash ring gives each prefix two home targets, the same at every
instance; a lookup takes O(log n). Whether a home is used depends on its cost in
`copperloom.decisions.placement`, which bounds the load of a hot prefix.
"""

import bisect

import xxhash

__all__ = ["Ring", "build", "homes"]

POINTS_PER_TARGET = 4
HOMES = 2


class Ring:
    """Consistent-hash ring of targets.

    Attributes:
        points: Hash values in ascending order.
        names: The target of each point.
    """

    def __init__(self, points: list[int], names: list[str]):
        self.points = points
        self.names = names


def build(names: list[str]) -> Ring:
    """Builds the ring of the named targets, in O(n log n)."""
    pairs = sorted(
        (xxhash.xxh64_intdigest(f"{name}/{i}".encode()), name)
        for name in names
        for i in range(POINTS_PER_TARGET)
    )
    return Ring([p for p, _ in pairs], [n for _, n in pairs])


def homes(ring: Ring, prefix: str) -> list[str]:
    """Returns the home targets of a prefix, the preferred one first."""
    if not ring.points:
        return []
    start = bisect.bisect(ring.points, xxhash.xxh64_intdigest(prefix.encode()))
    found: list[str] = []
    for step in range(min(len(ring.points), 4 * POINTS_PER_TARGET)):
        name = ring.names[(start + step) % len(ring.names)]
        if name not in found:
            found.append(name)
        if len(found) == HOMES:
            break
    return found
