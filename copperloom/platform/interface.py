"""The interface of the platform's services.

A platform is a `Platform` record of coroutine functions;
`copperloom.platform.http` builds one for the HTTP protocol. Every function
except `close` takes `timeout_s`. They raise `PlatformDownError` if the call
certainly had no effect, `PlatformUnknownError` if a write may have taken
effect, and `RateLimitedError`.
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
        key: Key of the row; scans return rows in key order.
        value: Any JSON value.
        version: Incremented by each write; 0 means that the row does not
            exist.
    """

    key: str
    value: object
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Requires that a row has this version (0: the row does not exist)."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Sets the value of a row; None deletes the row."""

    key: str
    value: object | None


@dataclasses.dataclass(frozen=True, slots=True)
class TransactResult:
    """The outcome of a transaction, which applies all its writes or none.

    Attributes:
        committed: Whether the writes were applied.
        conflicts: Current rows whose condition did not hold.
    """

    committed: bool
    conflicts: tuple[Row, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceRow:
    """An element of the platform's list of instances and targets.

    The list is eventually consistent.

    Attributes:
        name: Name of the instance or target.
        kind: "entry", "engine" or "service".
        address: IP:port for peers (entry) or of the target.
        data_centre: Data centre of the instance or target.
        leaving: Whether the platform is about to remove it.
    """

    name: str
    kind: str
    address: str
    data_centre: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Platform:
    """The functions of a platform.

    Attributes:
        transact: (conditions, writes, *, timeout_s) -> TransactResult. At
            most 25 rows.
        read: (key, *, timeout_s) -> Row (version 0 if it does not exist).
        scan: (prefix, *, after="", limit=1000, timeout_s) -> list of Row in
            key order.
        get_object: (name, *, timeout_s) -> bytes or None.
        put_object: (name, data, *, timeout_s) -> None.
        instances: (*, timeout_s) -> list of InstanceRow.
        announce: (row, *, timeout_s) -> None; reports to the platform's agent
            that this instance is up or draining.
        acquire_weights: (count, *, timeout_s) -> None; acquires permits of
            the model weight store or raises RateLimitedError.
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
