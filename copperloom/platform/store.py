"""The client of the platform's table service.

A row is identified by its table, a part (empty here) and a key. Versions come
from a single counter over all tables. Errors distinguish whether a write may
have taken effect: only a connection that was never established, status 429 or
503, or a failed condition proves that it did not.
"""

import base64
import binascii
import collections
import dataclasses
import urllib.parse

import aiohttp
import msgspec
import yarl

from copperloom import exception
from copperloom.utils import bounded_read, sockets

__all__ = [
    "Feed",
    "Store",
    "StoredRow",
    "close",
    "feed",
    "put_row",
    "read_all",
    "remove_row",
]

_OK = 200
_GONE = 410
_FAILED_CONDITION = 412
_REFUSED = (429, 503)
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
    version: int
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Feed:
    """Rows of a table as of one version.

    Attributes:
        rows: All rows or the changed rows, in order.
        version: Version that the rows reflect.
    """

    rows: tuple[StoredRow, ...]
    version: int


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


class Store:
    """The connection to the platform's table service.

    Attributes:
        address: IP:port; may be changed at any time.
        calls: Number of calls by name and result: a status, or "lost".
    """

    def __init__(self, address: str):
        self.address = address
        self.calls: collections.Counter = collections.Counter()
        self.session: aiohttp.ClientSession | None = None

    def open(self) -> aiohttp.ClientSession:
        """Returns the session, creating it on first use in the event loop."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    force_close=True,
                    socket_factory=sockets.monitored_socket,
                ),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self.session


async def close(store: Store) -> None:
    """Closes the connections of a client."""
    if store.session is not None:
        await store.session.close()


async def read_all(store: Store, table: str) -> Feed:
    """Reads a whole table, page by page."""
    rows: list[StoredRow] = []
    start = ""
    version = 0
    while True:
        query = {"table": table, "part": ""}
        if start:
            query["from"] = start
        page = await _get(store, "rows-get", query, _CALL_S)
        version = version or page.ver
        rows.extend(_row(r) for r in page.rows)
        if not page.has_more or not page.rows:
            return Feed(tuple(rows), version)
        # The smallest key greater than the last one.
        start = page.rows[-1].key + "\0"


async def feed(store: Store, table: str, after: int, wait_s: float) -> Feed:
    """Waits for changes to a table after a version.

    Args:
        store: The client.
        table: Name of the table.
        after: Version after which changes are returned.
        wait_s: Time after which the service responds without changes, in
            seconds.

    Raises:
        copperloom.exception.HistoryGoneError: The changes are no longer kept.
        copperloom.exception.PlatformDownError: The call failed.
    """
    query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
    page = await _get(store, "rows-feed", query, wait_s + _FEED_MARGIN_S)
    return Feed(tuple(_row(r) for r in page.rows), page.ver)


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
    status, _ = await _call(
        store, "POST", url, raw, _CALL_S, exception.PlatformUnknownError
    )
    if status in _REFUSED or status == _FAILED_CONDITION:
        raise exception.PlatformDownError(f"rows-tx: {status}")
    if status != _OK:
        raise exception.PlatformUnknownError(f"rows-tx: {status}")


async def _get(store: Store, call: str, query: dict, timeout_s: float):
    text = urllib.parse.urlencode(query)
    url = f"http://{store.address}/copperloom/{call}?{text}"
    status, raw = await _call(
        store, "GET", url, None, timeout_s, exception.PlatformDownError
    )
    if status == _GONE:
        raise exception.HistoryGoneError(call)
    if status != _OK:
        raise exception.PlatformDownError(f"{call}: {status}")
    try:
        return _ROWS.decode(raw)
    except msgspec.MsgspecError as error:
        raise exception.PlatformDownError(f"{call}: {error}") from error


async def _call(store, method, url, body, timeout_s, unknown_error):
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
            raw = await bounded_read.read(reply, _MAX_ANSWER_BYTES)
            result = str(reply.status)
            return reply.status, raw
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise exception.PlatformDownError(f"{name}: {error}") from error
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise unknown_error(f"{name}: {type(error).__name__}") from error
    finally:
        store.calls[name, result] += 1


def _row(raw: _WireRow) -> StoredRow:
    value = None
    if not raw.removed and raw.value is not None:
        try:
            value = base64.b64decode(raw.value, validate=True)
        except (binascii.Error, ValueError):
            value = None
    return StoredRow(raw.key, value, raw.ver, raw.removed)
