"""Detects engine streams that no live entry serves any more.

docs/design/reclaim.md explains why each condition suffices.
"""

import dataclasses

from copperloom.targets.interface import StreamInfo

__all__ = ["OwnerBoots", "is_orphan", "record"]

# Must exceed any configured `dead_s`.
_RETENTION_S = 7200.0


@dataclasses.dataclass(frozen=True, slots=True)
class _CurrentBoot:
    """The boot of an instance that sent the instance's last message.

    Attributes:
        boot: Name of the boot.
        since: Monotonic time of its first message after those of another boot.
        last_received_at: Monotonic time of its last message.
    """

    boot: str
    since: float
    last_received_at: float


class OwnerBoots:
    """Boots of entries from which this entry has received messages directly.

    Attributes:
        started_at: Monotonic time when this entry began to receive messages.
        last_received_at: Monotonic time of the last message, by
            INSTANCE.BOOT.
        current: The boot that sent the last message, by instance.
    """

    def __init__(self, started_at: float):
        self.started_at = started_at
        self.last_received_at: dict[str, float] = {}
        self.current: dict[str, _CurrentBoot] = {}


def record(owners: OwnerBoots, instance: str, boot: str, at: float) -> None:
    """Records the time of a message from an entry; idempotent."""
    name = f"{instance}.{boot}"
    owners.last_received_at[name] = max(
        at, owners.last_received_at.get(name, at)
    )
    latest = owners.current.get(instance)
    if latest is None or latest.boot != boot:
        if latest is None or latest.last_received_at < at:
            owners.current[instance] = _CurrentBoot(boot, at, at)
            _remove_silent(owners, at - _RETENTION_S)
    elif latest.last_received_at < at:
        owners.current[instance] = dataclasses.replace(
            latest, last_received_at=at
        )


def _remove_silent(owners: OwnerBoots, before: float) -> None:
    """Removes long silent boots; unknown boots count as silent as well."""
    for name, at in list(owners.last_received_at.items()):
        if at < before:
            del owners.last_received_at[name]


def is_orphan(
    owners: OwnerBoots, info: StreamInfo, now: float, *, dead_s: float
) -> bool:
    """Returns whether a stream may be cancelled on behalf of its owner.

    Cancelling too early cuts off an answer that a caller still reads; never
    cancelling leaks engine memory. A stream without a reader is an orphan once
    it has been idle for `dead_s` according to the engine. That is longer than
    an entry keeps a stream for its caller to resume, and than the interval at
    which it touches a held part. Its owner must have been silent for `dead_s`
    as well, since a live owner cancels its streams itself.

    A stream with a reader is an orphan only if its owner cannot be alive:
    another boot of the instance is live, and all messages of the instance in
    the last `dead_s` came from it. The reader is then a broken connection that
    the engine has not detected.

    Args:
        owners: Boots of the entries and their last messages.
        info: The stream, as listed by the engine just now.
        now: Monotonic time in seconds.
        dead_s: Silence in seconds after which an entry counts as dead.
    """
    last_received_at = owners.last_received_at.get(
        info.owner, owners.started_at
    )
    if now - last_received_at < dead_s:
        return False
    if not info.attached:
        return info.idle_s >= dead_s
    return _is_replaced(owners, info.owner, now, dead_s)


def _is_replaced(
    owners: OwnerBoots, owner: str, now: float, dead_s: float
) -> bool:
    instance, _, boot = owner.rpartition(".")
    current = owners.current.get(instance)
    if current is None or current.boot == boot:
        return False
    return (
        now - current.since >= dead_s
        and now - current.last_received_at < dead_s
    )
