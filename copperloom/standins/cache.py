"""Prefix cache of the engine stand-in, whose events may be lost."""

import collections
import random

from copperloom.targets import interface

__all__ = ["PrefixCache", "events", "store", "touch"]

_MAX_EVENTS = 2000


class PrefixCache:
    """A cache of limited size that evicts the least recently used prefixes.

    Attributes:
        capacity: Maximum number of prefixes.
        event_loss: Share of events that are lost.
        rng: Random number generator that decides which events are lost.
        prefixes: Cached prefixes, least recently used first.
        sequence: Sequence number of the latest event.
        recorded: (monotonic seconds, event) of the events that were not lost,
            oldest first.
    """

    def __init__(self, capacity: int, event_loss: float, rng: random.Random):
        self.capacity = capacity
        self.event_loss = event_loss
        self.rng = rng
        self.prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.sequence = 0
        self.recorded: collections.deque[tuple[float, interface.CacheEvent]] = (
            collections.deque(maxlen=_MAX_EVENTS)
        )


def touch(cache: PrefixCache, prefix: str) -> bool:
    """Returns whether a prefix is cached; if so, it is the latest used."""
    if prefix not in cache.prefixes:
        return False
    cache.prefixes.move_to_end(prefix)
    return True


def store(cache: PrefixCache, prefix: str, now: float) -> None:
    """Caches a prefix and evicts the least recently used ones."""
    if not prefix or not cache.capacity or touch(cache, prefix):
        return
    cache.prefixes[prefix] = None
    _record(cache, prefix, True, now)
    while len(cache.prefixes) > cache.capacity:
        evicted, _ = cache.prefixes.popitem(last=False)
        _record(cache, evicted, False, now)


def events(
    cache: PrefixCache, after: int, until: float
) -> list[interface.CacheEvent]:
    """Returns recorded events.

    Args:
        cache: The cache whose events are wanted.
        after: Sequence number that the events must exceed.
        until: Monotonic time of the latest event to return, in seconds.
    """
    return [
        event
        for recorded_at, event in cache.recorded
        if event.sequence > after and recorded_at <= until
    ]


def _record(cache: PrefixCache, prefix: str, stored: bool, now: float) -> None:
    cache.sequence += 1
    if cache.rng.random() >= cache.event_loss:
        event = interface.CacheEvent(cache.sequence, prefix, stored)
        cache.recorded.append((now, event))
