"""Reservations of engines' KV memory for long work, kept by their owner.

Several entries that place long work on one engine by lagging reports would
overbook it. One entry, the engine's owner, keeps a `Book`: one writer, so
that two grants never count the same memory. Which entry owns an engine is
decided elsewhere.
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
    "seen",
]

# When to ask again if memory is short: about a short prompt's time.
RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The owner's answer.

    Attributes:
        granted: Whether the memory is reserved.
        not_owner: Whether the target is not in this book.
        retry_after_s: When to ask again if it is not granted.
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
    most_long_tokens: int
    opens_at: float
    looked: bool = False
    reserved: dict[str, _Reservation] = dataclasses.field(default_factory=dict)
    account: dict[str, int] = dataclasses.field(default_factory=dict)
    long_streams: set[str] = dataclasses.field(default_factory=set)


class Book:
    """Reservations at the targets that this entry owns.

    Attributes:
        ledgers: By target.
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
    """Starts to own a target, or adopts a change of its limits.

    Made for a change of owner while the old one still grants, paused or cut
    off. The new owner grants nothing until one lifetime of a reservation has
    passed, when all of the old one's grants are either used, and then in the
    engine's own account, or have run out; and until it has seen that account.

    Args:
        book: The book.
        target: The target.
        kv_tokens: Its KV memory.
        long_share: Most of it that long work may hold, from 0 to 1.
        ttl_s: Longest life of a reservation that any entry grants.
        now: Monotonic seconds.
    """
    most = int(kv_tokens * long_share)
    ledger = book.ledgers.get(target)
    if ledger is None:
        book.ledgers[target] = _Ledger(kv_tokens, most, now + ttl_s)
        return
    ledger.kv_tokens = kv_tokens
    ledger.most_long_tokens = most


def close_target(book: Book, target: str) -> None:
    """Stops owning a target; its reservations are forgotten."""
    book.ledgers.pop(target, None)


def reserve(
    book: Book, target: str, stream: str, tokens: int, ttl_s: float, now: float
) -> Grant:
    """Reserves memory for a stream; safe to repeat.

    Args:
        book: The book.
        target: The target.
        stream: Name of the stream.
        tokens: KV tokens that it will hold.
        ttl_s: Seconds until the reservation runs out if it is not renewed.
        now: Monotonic seconds.
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
    """Gives reservations back; unknown ones are passed over.

    The engine's account is not touched: what it still holds is in use.
    """
    ledger = book.ledgers.get(target)
    if ledger is None:
        return
    for stream in streams:
        ledger.reserved.pop(stream, None)


def renew(
    book: Book, target: str, stream: str, ttl_s: float, now: float
) -> bool:
    """Prolongs a reservation; False if it is gone."""
    ledger = book.ledgers.get(target)
    held = ledger.reserved.get(stream) if ledger else None
    if held is None or held.expires <= now:
        return False
    held.expires = max(held.expires, now + ttl_s)
    return True


def expire(book: Book, now: float) -> None:
    """Drops reservations that ran out."""
    for ledger in book.ledgers.values():
        gone = [s for s, r in ledger.reserved.items() if r.expires <= now]
        for stream in gone:
            del ledger.reserved[stream]


def seen(
    book: Book,
    target: str,
    streams: Iterable[interface.StreamInfo],
    now: float,
    *,
    short_tokens: int = 0,
) -> None:
    """Takes in an engine's own account, which replaces reservations.

    A stream in the account counts with the greater of what it holds and what
    it reserved, as long as that lasts: an engine may fill its memory step by
    step. A stream that was in the account and is gone has ended, and its
    reservation goes with it. One that never was there keeps it, since its
    start may still be on the way.

    Args:
        book: The book.
        target: The target.
        streams: The engine's account.
        now: Monotonic seconds.
        short_tokens: Streams up to this many tokens are short work, which
            counts against the memory but not against long work's share.
    """
    ledger = book.ledgers.get(target)
    if ledger is None:
        return
    expire(book, now)
    account = {info.stream: info.kv_tokens for info in streams}
    for stream in ledger.account:
        if stream not in account:
            ledger.reserved.pop(stream, None)
    ledger.account = account
    ledger.long_streams = {s for s, n in account.items() if n > short_tokens}
    ledger.looked = True


def free_tokens(book: Book, target: str) -> int:
    """Returns the tokens that could be reserved now; 0 if not owned."""
    ledger = book.ledgers.get(target)
    return max(0, _free(ledger)) if ledger else 0


def _free(ledger: _Ledger) -> int:
    held_long = held = 0
    for stream, used in ledger.account.items():
        if stream in ledger.reserved:
            continue
        held += used
        held_long += used if stream in ledger.long_streams else 0
    for stream, reserved in ledger.reserved.items():
        tokens = max(reserved.tokens, ledger.account.get(stream, 0))
        held += tokens
        held_long += tokens
    return min(ledger.most_long_tokens - held_long, ledger.kv_tokens - held)
