"""Checks that cold targets get no more requests than they bear."""

from bench.frontsoak.findings import Finding
from bench.frontsoak.world import COLD_BOUND_PER_S, World

__all__ = ["check_cold"]

# Longest time after a disturbance of a link in which it passes on requests that
# it held.
_LINK_S = 2.0


def check_cold(world: World) -> list[Finding]:
    """Returns the targets that got too many requests in any one second."""
    held = [(f.since, f.until) for f in world.link_faults]
    held += [span for front in world.fronts for span in front.partitions]
    found = []
    for name, target in world.targets.items():
        times = [
            r.at
            for r in target.seen
            if r.cold and not any(s <= r.at <= u + _LINK_S for s, u in held)
        ]
        most = max(
            (sum(t <= x < t + 1 for x in times) for t in times), default=0
        )
        if most > COLD_BOUND_PER_S:
            found.append(Finding("COLD", f"{name}: {most} requests"))
    return found
