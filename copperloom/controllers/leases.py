"""Leases on targets in the platform's table, with fencing numbers.

No clock is compared with another's. A holder trusts its lease for half its
length, by its own monotonic clock, counted from before it sent the write that
took or renewed it. Another takes over only after it has seen the row
unchanged for the whole length. So the two overlap only if one clock runs at
less than half the speed of the other, or if a holder is paused between its
last look at the clock and the sending of an order; the fencing number, which
grows with each holder, is for that case. docs/design/orders.md says what it
does at engines that ignore it.
"""

import asyncio
import dataclasses

from copperloom import exception
from copperloom.platform import interface

__all__ = ["LEASE_S", "Lease", "Leases", "acquire", "drop", "is_good"]

# Long enough for a few lost or slow writes before a holder has to stop, short
# enough that orders of a dead holder are given by another within half a
# minute; no caller waits for an order.
LEASE_S = 20.0
_RENEW_LEFT_S = LEASE_S / 4


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that this entry holds.

    Attributes:
        target: The target's name.
        fencing: Goes with each order.
        version: Of the row, to renew it.
        good_until: Monotonic time until which orders may be sent.
    """

    target: str
    fencing: int
    version: int
    good_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Watch:
    """Another's lease: the row's version and since when it is the same."""

    version: int
    since: float


class Leases:
    """Leases held and watched, by target."""

    def __init__(self):
        self.held: dict[str, Lease] = {}
        self.watched: dict[str, _Watch] = {}


def is_good(lease: Lease, now: float) -> bool:
    """Returns whether an order may be sent under a lease."""
    return now < lease.good_until


def drop(leases: Leases, target: str) -> None:
    """Forgets a lease, for example since an engine saw a higher number."""
    leases.held.pop(target, None)


async def acquire(
    leases: Leases,
    platform: interface.Platform,
    owner: str,
    target: str,
    *,
    timeout_s: float,
) -> Lease | None:
    """Takes or renews a lease.

    Args:
        leases: The state.
        platform: The platform's functions.
        owner: INSTANCE.BOOT of this entry.
        target: The target's name.
        timeout_s: Time limit of one call.

    Returns:
        The lease, good at the time of return, or None if another holds it or
        the platform gave no sure answer.
    """
    loop = asyncio.get_running_loop()
    held = leases.held.get(target)
    if held is not None and held.good_until - loop.time() > _RENEW_LEFT_S:
        return held
    try:
        row = await platform.read(f"lease/{target}", timeout_s=timeout_s)
        if not _may_take(leases, row, owner, target, loop.time()):
            return None
        lease = await _write(platform, row, owner, target, timeout_s)
    except exception.CopperloomError:
        # Also if the write may have taken effect: the next try then reads the
        # row with this entry as its holder, and renews it.
        return None
    if lease is None or not is_good(lease, loop.time()):
        return None
    leases.held[target] = lease
    leases.watched.pop(target, None)
    return lease


def _may_take(
    leases: Leases, row: interface.Row, owner: str, target: str, now: float
) -> bool:
    """Returns whether the row is free, this entry's own, or lapsed."""
    if not row.version or row.value["holder"] == owner:
        return True
    leases.held.pop(target, None)
    watch = leases.watched.get(target)
    if watch is None or watch.version != row.version:
        leases.watched[target] = _Watch(row.version, now)
        return False
    return now - watch.since >= LEASE_S


async def _write(
    platform: interface.Platform,
    row: interface.Row,
    owner: str,
    target: str,
    timeout_s: float,
) -> Lease | None:
    before = asyncio.get_running_loop().time()
    old = row.value or {"holder": "", "fencing": 0, "renewed": 0}
    same = old["holder"] == owner
    value = {
        "holder": owner,
        "fencing": old["fencing"] + (0 if same else 1),
        "renewed": old["renewed"] + 1 if same else 0,
    }
    result = await platform.transact(
        [interface.Condition(row.key, row.version)],
        [interface.Write(row.key, value)],
        timeout_s=timeout_s,
    )
    if not result.committed:
        return None
    return Lease(
        target, value["fencing"], row.version + 1, before + LEASE_S / 2
    )
