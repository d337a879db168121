"""Reservations of engines' KV memory for long work, kept by an owner.

Instances that place long work on the same engine by delayed reports would
overcommit its memory. So a single instance, the engine's owner, keeps a `Book`
of all reservations, and two grants never count the same memory. Which instance
owns an engine is decided elsewhere.
"""

import dataclasses
from collections.abc import Iterable

from copperloom.targets import interface

__all__ = [
    "Book",
    "Grant",
    "close_target",
    "expire",
    "free_tokens",
    "open_target",
    "release",
    "renew",
    "reserve",
    "update_streams",
]

# Retry interval if there is not enough free memory: about the duration of a
# short request.
RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The owner's reply to a reservation request.

    Attributes:
        granted: Whether the memory is reserved.
        not_owner: Whether the target is not in this book.
        retry_after_s: Seconds after which to try again if not granted.
    """

    granted: bool
    not_owner: bool = False
    retry_after_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Reservation:
    tokens: int
    expires: float


@dataclasses.dataclass(slots=True)
class _Ledger:
    kv_tokens: int
    max_long_tokens: int
    opens_at: float
    looked: bool = False
    reserved: dict[str, _Reservation] = dataclasses.field(default_factory=dict)
    usage: dict[str, int] = dataclasses.field(default_factory=dict)
    long_streams: set[str] = dataclasses.field(default_factory=set)


class Book:
    """Reservations at the targets that this instance owns.

    Attributes:
        ledgers: Reservations and usage, by target.
    """

    def __init__(self):
        self.ledgers: dict[str, _Ledger] = {}


def open_target(
    book: Book,
    target: str,
    kv_tokens: int,
    long_share: float,
    ttl_s: float,
    now: float,
) -> None:
    """Takes ownership of a target, or updates the limits of an owned one.

    A previous owner that is frozen or partitioned may still grant memory. So a
    new owner grants nothing until the longest lifetime of a reservation has
    passed: the previous owner's grants have then either expired or show in the
    engine's list of streams, which the new owner must have received as well.

    Args:
        book: The book.
        target: Name of the target.
        kv_tokens: Its KV memory, in tokens.
        long_share: Maximum share of it for long work, from 0 to 1.
        ttl_s: Longest lifetime of a reservation that any instance grants, in
            seconds.
        now: Monotonic time, in seconds.
    """
    max_long_tokens = int(kv_tokens * long_share)
    ledger = book.ledgers.get(target)
    if ledger is None:
        book.ledgers[target] = _Ledger(kv_tokens, max_long_tokens, now + ttl_s)
        return
    ledger.kv_tokens = kv_tokens
    ledger.max_long_tokens = max_long_tokens


def close_target(book: Book, target: str) -> None:
    """Ends the ownership of a target and drops its reservations."""
    book.ledgers.pop(target, None)


def reserve(
    book: Book, target: str, stream: str, tokens: int, ttl_s: float, now: float
) -> Grant:
    """Reserves memory for a stream; idempotent.

    Args:
        book: The book.
        target: Name of the target.
        stream: Name of the stream.
        tokens: KV tokens that it will hold.
        ttl_s: Seconds until the reservation expires if it is not renewed.
        now: Monotonic time, in seconds.
    """
    ledger = book.ledgers.get(target)
    if ledger is None:
        return Grant(False, not_owner=True, retry_after_s=RETRY_S)
    expire(book, now)
    if now < ledger.opens_at or not ledger.looked:
        return Grant(False, retry_after_s=max(RETRY_S, ledger.opens_at - now))
    if stream in ledger.reserved:
        renew(book, target, stream, ttl_s, now)
        return Grant(True)
    if tokens > _free(ledger):
        return Grant(False, retry_after_s=RETRY_S)
    ledger.reserved[stream] = _Reservation(tokens, now + ttl_s)
    return Grant(True)


def release(book: Book, target: str, streams: Iterable[str]) -> None:
    """Releases reservations; unknown streams are ignored.

    Memory that the engine lists as used still counts.
    """
    ledger = book.ledgers.get(target)
    if ledger is None:
        return
    for stream in streams:
        ledger.reserved.pop(stream, None)


def renew(
    book: Book, target: str, stream: str, ttl_s: float, now: float
) -> bool:
    """Extends a reservation; returns False if it has expired or is unknown."""
    ledger = book.ledgers.get(target)
    reservation = ledger.reserved.get(stream) if ledger else None
    if reservation is None or reservation.expires <= now:
        return False
    reservation.expires = max(reservation.expires, now + ttl_s)
    return True


def expire(book: Book, now: float) -> None:
    """Drops expired reservations."""
    for ledger in book.ledgers.values():
        expired = [s for s, r in ledger.reserved.items() if r.expires <= now]
        for stream in expired:
            del ledger.reserved[stream]


def update_streams(
    book: Book,
    target: str,
    streams: Iterable[interface.StreamInfo],
    now: float,
    *,
    short_tokens: int = 0,
) -> None:
    """Applies an engine's list of its streams and the memory they use.

    A listed stream counts with the larger of its usage and its reservation, as
    long as the latter lasts, since an engine may allocate memory step by step.
    A stream that was listed before and no longer is has ended, which also ends
    its reservation. A stream that was never listed keeps its reservation, since
    it may not have reached the engine yet.

    Args:
        book: The book.
        target: Name of the target.
        streams: The engine's streams.
        now: Monotonic time, in seconds.
        short_tokens: Streams up to this many tokens are short work, which
            counts against the memory but not against long work's share.
    """
    ledger = book.ledgers.get(target)
    if ledger is None:
        return
    expire(book, now)
    usage = {info.stream: info.kv_tokens for info in streams}
    for stream in ledger.usage:
        if stream not in usage:
            ledger.reserved.pop(stream, None)
    ledger.usage = usage
    ledger.long_streams = {s for s, n in usage.items() if n > short_tokens}
    ledger.looked = True


def free_tokens(book: Book, target: str) -> int:
    """Returns the tokens that can be reserved now; 0 if not the owner."""
    ledger = book.ledgers.get(target)
    return max(0, _free(ledger)) if ledger else 0


def _free(ledger: _Ledger) -> int:
    held_long = held = 0
    for stream, used in ledger.usage.items():
        if stream in ledger.reserved:
            continue
        held += used
        held_long += used if stream in ledger.long_streams else 0
    for stream, reserved in ledger.reserved.items():
        tokens = max(reserved.tokens, ledger.usage.get(stream, 0))
        held += tokens
        held_long += tokens
    return min(ledger.max_long_tokens - held_long, ledger.kv_tokens - held)
