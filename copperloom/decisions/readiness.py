"""Whether an instance that reaches no target reports itself ready.

The load balancer sends new connections to other instances of a data centre
while at least half of them are ready. Otherwise it uses all of them, and the
instances of other data centres if none is ready. So reporting not ready helps
callers only if few instances are partitioned; the others go on by relaying
requests to peers.
"""

__all__ = ["is_withdrawn"]

# Short losses end before the load balancer has noticed.
MIN_LOST_S = 1.0


def is_withdrawn(lost_s: float, reaching: int, lost: int) -> bool:
    """Returns whether an instance reports not ready.

    Args:
        lost_s: Time for which it has reached no target, in seconds; negative
            if it reaches targets.
        reaching: Instances of its data centre that reach targets.
        lost: Instances of its data centre that reach none, this one included.
    """
    return lost_s >= MIN_LOST_S and reaching >= max(1, lost)
