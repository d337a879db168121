"""The client of the platform's table service.

A row is identified by its table, a part (empty here) and a key. Versions come
from a single counter over all tables. Errors distinguish whether a write may
have taken effect: only a connection that was never established, status 429 or
503, or a failed condition proves that it did not.

The service may return from an older copy of its rows. Its answers name the era,
which rises each time; a late answer of an earlier era is rejected, since what
it says may be undone.
"""

import asyncio
import base64
import binascii
import collections
import dataclasses
import urllib.parse
from collections.abc import Callable

import aiohttp
import msgspec
import yarl

from copperloom import exception, logs, versions
from copperloom.utils import (
    bounded_read,
    malformed,
    response_protocol,
    sockets,
)

__all__ = [
    "Feed",
    "Store",
    "StoredRow",
    "close",
    "feed",
    "note_era",
    "put_row",
    "read_all",
    "remove_row",
]

_OK = 200
_GONE = 410
_FAILED_CONDITION = 412
_REFUSED = (429, 503)
_ERA_HEADER = "Store-Era"
_MAX_ERA_DIGITS = 15
# Short, because an unreachable service doesn't reject connections but leaves
# them unanswered.
_CONNECT_S = 0.5
_CALL_S = 1.5
# A feed without changes responds only at the end of its wait; this covers the
# network delay on top.
_FEED_MARGIN_S = 0.7
# A page has some hundred kilobytes; the largest row is the configuration.
_MAX_ANSWER_BYTES = 16_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the table service.

    Attributes:
        key: Key of the row.
        value: Value in bytes; None if the row was removed or is malformed.
        version: Version of the transaction that last wrote the row.
        removed: Whether the row was removed.
    """

    key: str
    value: bytes | None
    version: versions.Version
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Feed:
    """Rows of a table as of one version.

    Attributes:
        rows: All rows or the changed rows, in order.
        version: Version that the rows reflect.
    """

    rows: tuple[StoredRow, ...]
    version: versions.Version


class _WireRow(msgspec.Struct):
    key: str
    value: str | None = None
    ver: int = 0
    removed: bool = False


class _WireRows(msgspec.Struct):
    rows: list[_WireRow] = []
    ver: int = 0
    has_more: bool = False


_ROWS = msgspec.json.Decoder(_WireRows)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    body: bytes
    era: int


class Store:
    """The connection to the platform's table service.

    Attributes:
        address: IP:port; may be changed at any time.
        era: Highest era that an answer or a peer has named; None if none has.
        era_changed: Set when the era rises, and then replaced.
        on_return: Called with the former era when the era rises.
        calls: Number of calls by name and result: a status, or "lost".
    """

    def __init__(self, address: str):
        self.address = address
        self.era: int | None = None
        self.era_changed = asyncio.Event()
        self.on_return: Callable[[int], None] = _ignore
        self.calls: collections.Counter = collections.Counter()
        self.session: aiohttp.ClientSession | None = None

    def open(self) -> aiohttp.ClientSession:
        """Returns the session, creating it on first use in the event loop."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=response_protocol.make_connector(
                    response_protocol.ResponseProtocol,
                    limit=0,
                    force_close=True,
                    socket_factory=sockets.monitored_socket,
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self.session


def _ignore(before: int) -> None:
    """Replaces `on_return` until it is set."""


def note_era(store: Store, era: int) -> None:
    """Records an era that an answer or a peer has named.

    A rise from a known era is a return of the service from an older copy.
    """
    before = store.era
    if before is not None and era <= before:
        return
    store.era = era
    if before is None:
        return
    store.era_changed.set()
    store.era_changed = asyncio.Event()
    store.on_return(before)


async def close(store: Store) -> None:
    """Closes the connections of a client."""
    if store.session is not None:
        await store.session.close()


async def read_all(store: Store, table: str) -> Feed:
    """Reads a whole table, page by page.

    Raises:
        copperloom.exception.HistoryGoneError: The service has returned from an
            older copy between two pages.
        copperloom.exception.PlatformDownError: A call failed.
    """
    rows: list[StoredRow] = []
    start = ""
    version = versions.NONE
    while True:
        query = {"table": table, "part": ""}
        if start:
            query["from"] = start
        page, era = await _get(store, "rows-get", query, _CALL_S)
        if not start:
            version = versions.Version(era, page.ver)
        elif era != version.era:
            raise exception.HistoryGoneError(f"{table}: pages of two eras")
        rows.extend(_row(r, era) for r in page.rows)
        if not page.has_more or not page.rows:
            return Feed(tuple(rows), version)
        # The smallest key greater than the last one.
        start = page.rows[-1].key + "\0"


async def feed(
    store: Store, table: str, after: versions.Version, wait_s: float
) -> Feed:
    """Waits for changes to a table after a version.

    Args:
        store: The client.
        table: Name of the table.
        after: Version after which changes are returned.
        wait_s: Time after which the service responds without changes, in
            seconds.

    Raises:
        copperloom.exception.HistoryGoneError: The changes are no longer kept,
            or the service has returned from an older copy.
        copperloom.exception.PlatformDownError: The call failed.
    """
    _check_era(store, table, after.era)
    query = {
        "table": table,
        "after": after.number,
        "wait_ms": int(wait_s * 1000),
    }
    call = asyncio.ensure_future(
        _get(store, "rows-feed", query, wait_s + _FEED_MARGIN_S)
    )
    returned = asyncio.ensure_future(store.era_changed.wait())
    try:
        await asyncio.wait(
            (call, returned), return_when=asyncio.FIRST_COMPLETED
        )
        # Another call may have shown a newer era.
        _check_era(store, table, after.era)
        page, era = await call
    finally:
        call.cancel()
        returned.cancel()
        # Retrieves the error of a call that is given up for the newer era.
        await asyncio.gather(call, returned, return_exceptions=True)
    if era != after.era:
        raise exception.HistoryGoneError(f"{table}: era {era}")
    return Feed(
        tuple(_row(r, era) for r in page.rows), versions.Version(era, page.ver)
    )


def _check_era(store: Store, table: str, era: int) -> None:
    if store.era is not None and era != store.era:
        raise exception.HistoryGoneError(f"{table}: era {store.era}")


async def put_row(store: Store, table: str, key: str, value: bytes) -> None:
    """Writes a row unconditionally.

    Raises:
        copperloom.exception.PlatformDownError: The row was not written.
        copperloom.exception.PlatformUnknownError: The row may have been
            written.
    """
    text = base64.b64encode(value).decode()
    row = {"table": table, "part": "", "key": key, "value": text}
    await _write(store, {"expect": [], "writes": [row], "remove": []})


async def remove_row(store: Store, table: str, key: str) -> None:
    """Removes a row; raises the same errors as `put_row`."""
    row = {"table": table, "part": "", "key": key}
    await _write(store, {"expect": [], "writes": [], "remove": [row]})


async def _write(store: Store, body: dict) -> None:
    raw = msgspec.json.encode(body)
    url = f"http://{store.address}/copperloom/rows-tx"
    answer = await _call(
        store, "POST", url, raw, _CALL_S, exception.PlatformUnknownError
    )
    status = answer.status
    if status in _REFUSED or status == _FAILED_CONDITION:
        raise exception.PlatformDownError(f"rows-tx: {status}")
    if status != _OK:
        raise exception.PlatformUnknownError(f"rows-tx: {status}")
    if _is_outdated(store, answer):
        raise exception.PlatformUnknownError(f"rows-tx: era {answer.era}")


def _is_outdated(store: Store, answer: _Answer) -> bool:
    return store.era is not None and answer.era < store.era


async def _get(
    store: Store, call: str, query: dict, timeout_s: float
) -> tuple[_WireRows, int]:
    """Returns the rows of an answer, and its era."""
    text = urllib.parse.urlencode(query)
    url = f"http://{store.address}/copperloom/{call}?{text}"
    answer = await _call(
        store, "GET", url, None, timeout_s, exception.PlatformDownError
    )
    if answer.status == _GONE:
        raise exception.HistoryGoneError(call)
    if answer.status != _OK:
        raise exception.PlatformDownError(f"{call}: {answer.status}")
    if _is_outdated(store, answer):
        raise exception.HistoryGoneError(f"{call}: era {answer.era}")
    try:
        return _ROWS.decode(answer.body), answer.era
    except malformed.ERRORS as error:
        raise exception.PlatformDownError(f"{call}: {error}") from error


async def _call(store, method, url, body, timeout_s, unknown_error) -> _Answer:
    """Calls once; raises `unknown_error` if the outcome is unknown."""
    name = url.partition("?")[0].rpartition("/")[2]
    result = "lost"
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=_CONNECT_S)
    headers = {"Content-Type": "application/json"} if body else None
    try:
        async with store.open().request(
            method,
            yarl.URL(url, encoded=True),
            data=body,
            headers=headers,
            timeout=timeout,
        ) as reply:
            era = _read_era(store, reply.headers.get(_ERA_HEADER))
            raw = await bounded_read.read(reply, _MAX_ANSWER_BYTES)
            result = str(reply.status)
            return _Answer(reply.status, raw, era)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise exception.PlatformDownError(f"{name}: {error}") from error
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise unknown_error(f"{name}: {type(error).__name__}") from error
    finally:
        store.calls[name, result] += 1


def _read_era(store: Store, text: str | None) -> int:
    """Returns the era of an answer; that of the earlier ones if it has none."""
    if text is not None:
        if text.isascii() and text.isdigit() and len(text) <= _MAX_ERA_DIGITS:
            note_era(store, int(text))
            return int(text)
        logs.event("store_era_unreadable", era=ascii(text[:_MAX_ERA_DIGITS]))
    return store.era or 0


def _row(raw: _WireRow, era: int) -> StoredRow:
    value = None
    if not raw.removed and raw.value is not None:
        try:
            value = base64.b64decode(raw.value, validate=True)
        except (binascii.Error, ValueError):
            value = None
    version = versions.Version(era, raw.ver)
    return StoredRow(raw.key, value, version, raw.removed)
