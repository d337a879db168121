"""Leases on targets in the platform's table, with fencing numbers.

Clocks of different machines are never compared. A holder uses its lease for
half the lease duration by its own monotonic clock, counted from before it sent
the write that acquired or renewed the lease. Another entry acquires the lease
only after it has observed the row unchanged for the full duration. Two holders
therefore overlap only if one clock runs at less than half the speed of the
other, or if a holder is paused between its last check of the clock and the
sending of an order. The fencing number, which grows with each holder, covers
these cases; docs/design/orders.md describes engines that ignore it.
"""

import asyncio
import dataclasses

from copperloom import exception
from copperloom.platform import interface

__all__ = ["LEASE_S", "Lease", "Leases", "acquire", "drop", "is_valid"]

# Long enough to survive a few lost or slow writes, short enough for another
# entry to replace a failed holder soon. No caller waits for an order.
LEASE_S = 20.0
_RENEWAL_MARGIN_S = LEASE_S / 4


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that this entry holds.

    Attributes:
        target: Name of the target.
        fencing: Fencing number, sent with each order.
        version: Version of the row, the condition of the next renewal.
        valid_until: Monotonic time until which orders may be sent.
    """

    target: str
    fencing: int
    version: int
    valid_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    """The lease row of another holder, as this entry observed it.

    Attributes:
        version: Version of the row.
        since: Monotonic time when this version was first read.
    """

    version: int
    since: float


class Leases:
    """Leases of one entry.

    Attributes:
        held: Leases that this entry holds, by target.
        observed: Lease rows of other holders, by target.
    """

    def __init__(self):
        self.held: dict[str, Lease] = {}
        self.observed: dict[str, _Observation] = {}


def is_valid(lease: Lease, now: float) -> bool:
    """Returns whether an order may be sent under a lease."""
    return now < lease.valid_until


def drop(leases: Leases, target: str) -> None:
    """Removes a lease, for example after an engine has refused it."""
    leases.held.pop(target, None)


async def acquire(
    leases: Leases,
    platform: interface.Platform,
    owner: str,
    target: str,
    *,
    timeout_s: float,
) -> Lease | None:
    """Acquires or renews a lease.

    Args:
        leases: Leases of this entry.
        platform: Client of the platform.
        owner: INSTANCE.BOOT of this entry.
        target: Name of the target.
        timeout_s: Timeout of one platform call, in seconds.

    Returns:
        The lease, valid at the time of return, or None if another entry holds
        it or the outcome of a platform call is unknown.
    """
    loop = asyncio.get_running_loop()
    held = leases.held.get(target)
    if held is not None and held.valid_until - loop.time() > _RENEWAL_MARGIN_S:
        return held
    try:
        row = await platform.read(f"lease/{target}", timeout_s=timeout_s)
        if not _may_acquire(leases, row, owner, target, loop.time()):
            return None
        lease = await _write(platform, row, owner, target, timeout_s)
    except exception.CopperloomError:
        # If the write took effect nevertheless, the next call finds this entry
        # as the holder and renews the lease.
        return None
    if lease is None or not is_valid(lease, loop.time()):
        return None
    leases.held[target] = lease
    leases.observed.pop(target, None)
    return lease


def _may_acquire(
    leases: Leases, row: interface.Row, owner: str, target: str, now: float
) -> bool:
    """Returns whether the row is free, held by this entry, or expired."""
    if not row.version or row.value["holder"] == owner:
        return True
    leases.held.pop(target, None)
    observation = leases.observed.get(target)
    if observation is None or observation.version != row.version:
        leases.observed[target] = _Observation(row.version, now)
        return False
    return now - observation.since >= LEASE_S


async def _write(
    platform: interface.Platform,
    row: interface.Row,
    owner: str,
    target: str,
    timeout_s: float,
) -> Lease | None:
    """Writes the row and returns the lease, or None if the row has changed."""
    sent_at = asyncio.get_running_loop().time()
    current = row.value or {"holder": "", "fencing": 0, "renewed": 0}
    is_renewal = current["holder"] == owner
    value = {
        "holder": owner,
        "fencing": current["fencing"] + (0 if is_renewal else 1),
        "renewed": current["renewed"] + 1 if is_renewal else 0,
    }
    result = await platform.transact(
        [interface.Condition(row.key, row.version)],
        [interface.Write(row.key, value)],
        timeout_s=timeout_s,
    )
    if not result.committed:
        return None
    return Lease(
        target, value["fencing"], row.version + 1, sent_at + LEASE_S / 2
    )
