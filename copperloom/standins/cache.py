"""Prefix cache of the engine stand-in, with late and gappy events."""

import collections
import random

from copperloom.targets import interface

__all__ = ["PrefixCache", "events", "store", "touch"]

_EVENTS_KEPT = 2000


class PrefixCache:
    """Least recently used prefixes in limited memory.

    Attributes:
        room: Prefixes that fit.
        event_loss: Share of events that are lost.
        rng: Source of the losses.
        held: Prefixes, least recently used first.
        sequence: Number of the newest event.
        told: (time, event) of those not lost, oldest first.
    """

    def __init__(self, room: int, event_loss: float, rng: random.Random):
        self.room = room
        self.event_loss = event_loss
        self.rng = rng
        self.held: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.sequence = 0
        self.told: collections.deque[tuple[float, interface.CacheEvent]] = (
            collections.deque(maxlen=_EVENTS_KEPT)
        )


def touch(cache: PrefixCache, prefix: str) -> bool:
    """Returns whether the prefix is held, and makes it the newest if so."""
    if prefix not in cache.held:
        return False
    cache.held.move_to_end(prefix)
    return True


def store(cache: PrefixCache, prefix: str, now: float) -> None:
    """Takes a prefix in and drops the oldest ones that no longer fit."""
    if not prefix or not cache.room or touch(cache, prefix):
        return
    cache.held[prefix] = None
    _note(cache, prefix, True, now)
    while len(cache.held) > cache.room:
        oldest, _ = cache.held.popitem(last=False)
        _note(cache, oldest, False, now)


def events(
    cache: PrefixCache, after: int, until: float
) -> list[interface.CacheEvent]:
    """Returns the events with a greater number, up to a time."""
    return [
        event
        for told, event in cache.told
        if event.sequence > after and told <= until
    ]


def _note(cache: PrefixCache, prefix: str, stored: bool, now: float) -> None:
    cache.sequence += 1
    if cache.rng.random() >= cache.event_loss:
        event = interface.CacheEvent(cache.sequence, prefix, stored)
        cache.told.append((now, event))
