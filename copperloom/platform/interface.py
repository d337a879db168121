"""What the platform gives, as the rest of the package sees it.

Any platform is a `Platform` record of functions; `copperloom.platform.http`
makes one for the protocol of the stand-in. All functions are coroutines and
take `timeout_s`. They raise `PlatformDownError` when nothing can have taken
effect, `PlatformUnknownError` when a write may have, and `RateLimitedError`.
"""

import dataclasses
from collections.abc import Awaitable, Callable

__all__ = [
    "Condition",
    "InstanceRow",
    "Platform",
    "Row",
    "TransactResult",
    "Write",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service.

    Attributes:
        key: Its key; scans are in the order of keys.
        value: Any JSON value.
        version: Grows by one with each write; 0 means that there is no row.
    """

    key: str
    value: object
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Holds if the row has just this version (0: there is no such row)."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Sets a row's value; None deletes the row."""

    key: str
    value: object | None


@dataclasses.dataclass(frozen=True, slots=True)
class TransactResult:
    """The outcome of a transaction: all writes or none.

    Attributes:
        committed: Whether it took effect.
        conflicts: The rows, as they are, whose condition did not hold.
    """

    committed: bool
    conflicts: tuple[Row, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRow:
    """A line of the platform's lagging list of instances and targets.

    Attributes:
        name: Instance name, or target name.
        kind: "entry", "engine" or "service".
        address: IP:port for peers (entry) or the target's address.
        data_centre: Where it stands.
        leaving: Whether the platform is about to take it away.
    """

    name: str
    kind: str
    address: str
    data_centre: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Platform:
    """A platform as a record of coroutine functions.

    Attributes:
        transact: (conditions, writes, *, timeout_s) -> TransactResult. At
            most 25 rows.
        read: (key, *, timeout_s) -> Row (version 0 if there is none).
        scan: (prefix, *, after="", limit=1000, timeout_s) -> list of Row in
            the order of keys.
        get_object: (name, *, timeout_s) -> bytes or None.
        put_object: (name, data, *, timeout_s) -> None.
        instances: (*, timeout_s) -> list of InstanceRow.
        announce: (row, *, timeout_s) -> None; tells the platform's agent that
            this instance is up or leaving.
        acquire_weights: (count, *, timeout_s) -> None; takes permits of the
            weight store or raises RateLimitedError.
        close: () -> None.
    """

    transact: Callable[..., Awaitable[TransactResult]]
    read: Callable[..., Awaitable[Row]]
    scan: Callable[..., Awaitable[list[Row]]]
    get_object: Callable[..., Awaitable[bytes | None]]
    put_object: Callable[..., Awaitable[None]]
    instances: Callable[..., Awaitable[list[InstanceRow]]]
    announce: Callable[..., Awaitable[None]]
    acquire_weights: Callable[..., Awaitable[None]]
    close: Callable[[], Awaitable[None]]
