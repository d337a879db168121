"""Prefix affinity: prompts that start alike go to the same target.

A ring of hashed points (consistent hashing) gives each prefix a first and a
second home, the same at every entry; a look-up costs O(log n). Whether the
home is taken is decided by cost, in `copperloom.decisions.placement`, which
bounds the load that a hot prefix brings there.
"""

import bisect

import xxhash

__all__ = ["Ring", "homes", "make"]

POINTS_PER_TARGET = 4
HOMES = 2


class Ring:
    """Hashed points of targets.

    Attributes:
        points: Hash values in order.
        names: The target of each point.
    """

    def __init__(self, points: list[int], names: list[str]):
        self.points = points
        self.names = names


def make(names: list[str]) -> Ring:
    """Makes the ring of some targets; costs O(n log n)."""
    pairs = sorted(
        (xxhash.xxh64_intdigest(f"{name}/{i}".encode()), name)
        for name in names
        for i in range(POINTS_PER_TARGET)
    )
    return Ring([p for p, _ in pairs], [n for _, n in pairs])


def homes(ring: Ring, prefix: str) -> list[str]:
    """Returns the prefix's homes, the preferred one first."""
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
