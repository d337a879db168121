"""The platform's store: rows, feeds, transactions, and the drill.

A check-in of a runner that changes nothing but `seq` isn't a change of its
entry, so it takes no version.
"""

import asyncio
import base64
import collections
import copy
import dataclasses
import json
import time
import urllib.parse

from review.standins import web

_PAGE = 500


@dataclasses.dataclass
class Content:
    """What the store holds, and a copy of which a drill brings back.

    Attributes:
        rows: Value and version by table, part and key.
        events: Changes in order: version, table, part, key, value or None.
        version: Version of the newest transaction.
    """

    rows: dict = dataclasses.field(default_factory=dict)
    events: list = dataclasses.field(default_factory=list)
    version: int = 0


class Store:
    """The store.

    Attributes:
        content: What it holds.
        era: Number of the times that it came back from a copy, plus one.
        away: Whether it closes all connections.
        feeds: Number of open feeds by the name of the listener.
        server: Its listener.
        calls: Every call: time, path and status.
    """

    def __init__(self):
        self.content = Content()
        self.era = 1
        self.away = False
        self.server: asyncio.Server | None = None
        self.calls: list[tuple[float, str, int]] = []
        self.changed = asyncio.Event()
        self.writers: set = set()
        self.feeds: collections.Counter = collections.Counter()

    async def open(self) -> None:
        """Starts to listen."""
        self.server = await self._listen("")

    async def open_for(self, name: str) -> str:
        """Listens for one daemon; returns the IP:port."""
        return web.address_of(await self._listen(name))

    async def _listen(self, name: str) -> asyncio.Server:
        async def handle(request, writer):
            await self._handle(request, writer, name)

        return await web.serve(handle, "127.0.0.1")

    @property
    def address(self) -> str:
        """Its IP:port."""
        return web.address_of(self.server)

    def write(self, *rows: tuple[str, str, dict | None]) -> int:
        """Writes rows (table, key, value; None removes) in a transaction."""
        encoded = [
            (t, "", k, None if v is None else json.dumps(v).encode())
            for t, k, v in rows
        ]
        return self._apply(encoded)

    def copy(self) -> Content:
        """Returns a copy of all that it holds."""
        return copy.deepcopy(self.content)

    def leave(self) -> None:
        """Goes away: open calls break, new ones are closed at once."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def return_from(self, backup: Content) -> None:
        """Comes back from a copy, with the next era."""
        self.content = backup
        self.era += 1
        self.away = False
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, rows) -> int:
        content = self.content
        content.version += 1
        for table, part, key, value in rows:
            content.rows[table, part, key] = (value, content.version)
            content.events.append((content.version, table, part, key, value))
        self._notify()
        return content.version

    async def _handle(self, request: web.Message, writer, by: str) -> None:
        if self.away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            path, _, text = request.first[1].partition("?")
            query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
            name = path.rpartition("/")[2]
            status, body = await self._answer(name, query, request.body, by)
            if not self.away:
                self.calls.append((time.monotonic(), name, status))
                headers = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era),
                }
                data = json.dumps(body).encode()
                writer.write(web.answer(status, headers, data))
                await writer.drain()
        finally:
            self.writers.discard(writer)

    async def _answer(self, name, query, body, by) -> tuple[int, dict]:
        if name == "rows-get":
            return 200, self._get(query)
        if name == "rows-feed":
            self.feeds[by] += 1
            try:
                return await self._feed(query)
            finally:
                self.feeds[by] -= 1
        if name == "rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query) -> dict:
        begin = query.get("from", "")
        found = sorted(
            (key, value, version)
            for (table, part, key), (value, version) in (
                self.content.rows.items()
            )
            if table == query["table"]
            and part == query.get("part", "")
            and key >= begin
            and value is not None
        )
        rows = [_row(query["table"], *found_row) for found_row in found[:_PAGE]]
        return self._page(rows, has_more=len(found) > _PAGE)

    async def _feed(self, query) -> tuple[int, dict]:
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after > self.content.version:
                return 410, self._page([])
            newest = {}
            for version, table, _, key, value in self.content.events:
                if version > after and table == query["table"]:
                    newest[key] = (value, version)
            rows = [
                _row(query["table"], key, value, version)
                for key, (value, version) in newest.items()
            ]
            rows.sort(key=lambda row: row["ver"])
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, self._page(rows)
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body) -> tuple[int, dict]:
        rows = self.content.rows
        for want in body.get("expect", []):
            key = (want["table"], want.get("part", ""), want["key"])
            value, version = rows.get(key, (None, 0))
            if (version if value is not None else 0) != want["ver"]:
                return 412, self._page([])
        changes = [
            (
                row["table"],
                row.get("part", ""),
                row["key"],
                base64.b64decode(row["value"]),
            )
            for row in body.get("writes", [])
        ]
        changes += [
            (row["table"], row.get("part", ""), row["key"], None)
            for row in body.get("remove", [])
        ]
        self._apply(changes)
        return 200, self._page([])

    def _page(self, rows, has_more: bool = False) -> dict:
        return {
            "rows": rows,
            "has_more": has_more,
            "ver": self.content.version,
            "now_ms": int(time.monotonic() * 1000),
        }


def _row(table: str, key: str, value: bytes | None, version: int) -> dict:
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return row | {"removed": True}
    return row | {"value": base64.b64encode(value).decode()}
