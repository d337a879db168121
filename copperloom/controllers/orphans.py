"""Tells which streams of an engine nobody can be serving any more.

docs/design/reclaim.md says why each condition is enough.
"""

import dataclasses

from copperloom.targets.interface import StreamInfo

__all__ = ["Owners", "is_orphan", "note"]


# Far longer than any `dead_s` that makes sense.
_FORGET_S = 7200.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    boot: str
    since: float
    last: float


class Owners:
    """Boots of the other entries, as far as this one heard of them directly.

    Attributes:
        started: Since when this entry listens, in monotonic seconds.
        heard: By INSTANCE.BOOT, when it was last heard.
        current: By instance, the boot heard last, since when without a
            break by another boot, and when last.
    """

    def __init__(self, started: float):
        self.started = started
        self.heard: dict[str, float] = {}
        self.current: dict[str, _Seen] = {}


def note(owners: Owners, instance: str, boot: str, at: float) -> None:
    """Takes in that an entry was heard at a time; safe to repeat."""
    name = f"{instance}.{boot}"
    owners.heard[name] = max(at, owners.heard.get(name, at))
    seen = owners.current.get(instance)
    if seen is None or seen.boot != boot:
        if seen is None or seen.last < at:
            owners.current[instance] = _Seen(boot, at, at)
            _forget(owners, at - _FORGET_S)
    elif seen.last < at:
        owners.current[instance] = dataclasses.replace(seen, last=at)


def _forget(owners: Owners, before: float) -> None:
    """Drops boots long silent; unknown ones count as silent just the same."""
    for name, at in list(owners.heard.items()):
        if at < before:
            del owners.heard[name]


def is_orphan(
    owners: Owners, info: StreamInfo, now: float, *, dead_s: float
) -> bool:
    """Returns whether a stream may be cancelled in its owner's place.

    Load: an engine lists at most its batch, and only its owner asks.

    The harm on one side is memory that nobody frees, on the other an answer
    cut off under its reader. A stream that nobody reads, as the engine itself
    tells, for longer than any owner waits between two tries to read it, hurts
    nobody. `dead_s` is that limit: it is longer than an entry keeps a stream
    for a caller to fetch, and than it waits between two touches of a held
    part. Silence towards this entry is asked for besides, since a live owner
    cancels by itself.

    A stream that is read may only be cancelled if its owner cannot be alive:
    another boot has answered for the instance, and none but this, for all of
    `dead_s`. Its reader is then a connection whose end was never told.

    Args:
        owners: What was heard of the other entries.
        info: The stream, as the engine listed it just now.
        now: Monotonic seconds.
        dead_s: Silence after which an entry counts as gone.
    """
    last = owners.heard.get(info.owner, owners.started)
    if now - last < dead_s:
        return False
    if not info.attached:
        return info.idle_s >= dead_s
    return _is_replaced(owners, info.owner, now, dead_s)


def _is_replaced(owners: Owners, owner: str, now: float, dead_s: float) -> bool:
    instance, _, boot = owner.rpartition(".")
    seen = owners.current.get(instance)
    if seen is None or seen.boot == boot:
        return False
    return now - seen.since >= dead_s and now - seen.last < dead_s
