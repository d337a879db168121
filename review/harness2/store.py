"""The platform's metadata store, as far as the cases need it.

Every front gets a listener of its own, so that the store knows which front it
has answered.
"""

import asyncio
import base64
import collections
import json
import time
import urllib.parse

from review.harness2 import web

HISTORY_S = 20.0
_PAGE = 500


class Store:
    """Rows, their history, and what each front was told."""

    def __init__(self, record):
        self.record = record
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.log: list[tuple[int, float, str, str, str | None]] = []
        self.version = 0
        self.floor = 0
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Event()
        self.feeds: collections.Counter[tuple[str, str]] = collections.Counter()
        # Front, kind of answer, keys in it or removed by it, and its time.
        self.told: list[tuple[str, str, frozenset[str], float]] = []
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()

    def put(self, table: str, key: str, value: dict) -> None:
        """Writes a row, unless it holds the same already."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        known = self.rows.get((table, key))
        if known is None or known[0] != text:
            self._write(table, key, text)

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        if (table, key) in self.rows:
            self._write(table, key, None)

    def copy(self):
        """Returns a copy of all rows."""
        return dict(self.rows), self.version

    def leave(self) -> None:
        """Goes away: connections are reset, new calls get 503."""
        self.is_away = True
        for writer in list(self.writers):
            web.reset(writer)

    def return_from(self, backup) -> None:
        """Comes back from a copy."""
        rows, version = backup
        self.rows = dict(rows)
        self.version = version
        self.log = [entry for entry in self.log if entry[0] <= version]
        self.era += 1
        self.is_away = False
        self._notify()

    async def listen(self, front: str, host: str) -> str:
        """Opens a listener for a front; returns its address."""

        async def serve(reader, writer):
            self.writers.add(writer)
            try:
                while request := await web.read_request(reader, writer):
                    await self._answer(front, request)
            except (
                OSError,
                asyncio.IncompleteReadError,
                asyncio.CancelledError,
            ):
                pass
            finally:
                self.writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, host, 0)
        self.servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Closes all listeners."""
        for server in self.servers:
            server.close()

    def _write(self, table: str, key: str, text: str | None) -> None:
        self.version += 1
        if text is None:
            del self.rows[table, key]
        else:
            self.rows[table, key] = (text, self.version)
        self.log.append((self.version, time.monotonic(), table, key, text))
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _forget(self) -> None:
        oldest = time.monotonic() - HISTORY_S
        while self.log and self.log[0][1] < oldest:
            self.floor = self.log.pop(0)[0]

    async def _answer(self, front: str, request: web.Request) -> None:
        # A call takes 4 ms.
        await asyncio.sleep(0.004)
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        name = request.path.rpartition("/")[2]
        if self.is_away:
            status, value = 503, {}
        elif name == "rows-get":
            status, value = self._get(front, query)
        elif name == "rows-feed":
            status, value = await self._feed(front, query, request)
        elif name == "rows-tx":
            status, value = self._transact(json.loads(request.body))
        else:
            status, value = 404, {}
        value |= {"ver": self.version}
        value.setdefault("now_ms", int(time.monotonic() * 1000))
        body = json.dumps(value).encode()
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Store-Era": str(self.era),
        }
        request.writer.write(web.head(status, headers) + body)
        await request.writer.drain()

    def _get(self, front: str, query: dict) -> tuple[int, dict]:
        table, start = query["table"], query.get("from", "")
        found = sorted(
            (key, text, version)
            for (name, key), (text, version) in self.rows.items()
            if name == table and key >= start
        )
        rows = [
            {"table": table, "part": "", "key": k, "value": t, "ver": v}
            for k, t, v in found[:_PAGE]
        ]
        self._tell(front, f"{table} whole", {row["key"] for row in rows})
        return 200, {"rows": rows, "has_more": len(found) > _PAGE}

    async def _feed(self, front, query, request) -> tuple[int, dict]:
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        if int(query["wait_ms"]):
            self.feeds[front, table] += 1
        try:
            while True:
                self._forget()
                if self.is_away:
                    return 503, {}
                if after < self.floor or after > self.version:
                    return 410, {}
                latest = {
                    key: (version, text)
                    for version, _, name, key, text in self.log
                    if name == table and version > after
                }
                left = end - time.monotonic()
                if latest or left <= 0:
                    return 200, self._changes(front, table, latest)
                if request.reader.at_eof():
                    raise ConnectionResetError
                try:
                    async with asyncio.timeout(min(left, 0.1)):
                        await self.changed.wait()
                except TimeoutError:
                    continue
        finally:
            if int(query["wait_ms"]):
                self.feeds[front, table] -= 1

    def _changes(self, front: str, table: str, latest: dict) -> dict:
        rows = []
        for key, (version, text) in sorted(
            latest.items(), key=lambda item: item[1][0]
        ):
            row = {"table": table, "part": "", "key": key, "ver": version}
            row |= {"removed": True} if text is None else {"value": text}
            rows.append(row)
        gone = {row["key"] for row in rows if "removed" in row}
        if gone:
            self._tell(front, f"{table} removed", gone)
        return {"rows": rows}

    def _tell(self, front: str, what: str, keys) -> None:
        self.told.append((front, what, frozenset(keys), time.monotonic()))

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expect", []):
            _, version = self.rows.get((row["table"], row["key"]), ("", 0))
            if version != row["ver"]:
                return 412, {"rows": []}
        for row in body.get("writes", []):
            self._write(row["table"], row["key"], row["value"])
        for row in body.get("remove", []):
            if (row["table"], row["key"]) in self.rows:
                self._write(row["table"], row["key"], None)
        return 200, {}
