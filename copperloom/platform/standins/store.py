"""An in-memory fake of the platform's table service."""

import asyncio
import base64
import dataclasses

import msgspec
from aiohttp import web

__all__ = ["Copy", "StoreStandin", "serve"]

_MAX_ROWS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _Row:
    value: str | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A copy of all rows.

    Attributes:
        rows: Rows by table and key.
        version: Version of the last transaction in it.
    """

    rows: dict[str, dict[str, _Row]]
    version: int


class StoreStandin:
    """The rows of the service and the faults that a test injects.

    Attributes:
        rows: Rows by table and key; value None marks a removed row.
        version: Version of the last transaction.
        era: Number of its returns from a copy, named in all answers; None for
            a service that names none.
        history_from: Version before which changes are no longer available.
        down: Status returned to every call; None to serve calls.
        rejected_callers: Addresses of callers that receive status 503.
        unresponsive: Whether calls get no response.
        delays_s: Delay of reads by table, in seconds.
        lost_responses: Number of next writes that are applied but get no
            response.
        calls: Number of calls by the last component of their path.
        pages: Number of pages returned by table.
        changed: Event that is set by the next change and then replaced.
        address: IP:port.
        runner: Runner of the HTTP server.
    """

    def __init__(self):
        self.rows: dict[str, dict[str, _Row]] = {}
        self.version = 0
        self.era: int | None = 1
        self.history_from = 0
        self.down: int | None = None
        self.rejected_callers: set[str] = set()
        self.unresponsive = False
        self.delays_s: dict[str, float] = {}
        self.lost_responses = 0
        self.calls: dict[str, int] = {}
        self.pages: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.address = ""
        self.runner: web.AppRunner | None = None

    def put(self, table: str, key: str, value: bytes | dict) -> int:
        """Writes a row and returns its version."""
        if isinstance(value, dict):
            value = msgspec.json.encode(value)
        self._set(table, key, base64.b64encode(value).decode())
        return self.version

    def remove(self, table: str, key: str) -> int:
        """Removes a row and returns the version of the removal."""
        self._set(table, key, None)
        return self.version

    def forget_history(self) -> None:
        """Drops the change history, so that clients must read whole tables."""
        self.history_from = self.version
        self._notify()

    @property
    def writes(self) -> int:
        """Number of calls that write."""
        return self.calls.get("rows-tx", 0)

    @property
    def reads(self) -> int:
        """Number of calls that read whole tables."""
        return self.calls.get("rows-get", 0)

    def copy(self) -> "Copy":
        """Returns a copy of the rows and their version."""
        rows = {name: dict(table) for name, table in self.rows.items()}
        return Copy(rows, self.version)

    def leave(self) -> None:
        """Goes away: open feeds and new calls are refused."""
        self.down = 503
        self._notify()

    def return_from(self, backup: "Copy", *, ends_feeds: bool = True) -> None:
        """Returns from a copy, in the next era.

        Args:
            backup: The copy.
            ends_feeds: Whether open feeds see the return at once.
        """
        self.rows = {name: dict(table) for name, table in backup.rows.items()}
        self.version = backup.version
        self.history_from = min(self.history_from, backup.version)
        self.era += 1
        self.down = None
        if ends_feeds:
            self._notify()

    async def close(self) -> None:
        """Stops the service."""
        await self.runner.cleanup()

    def _set(self, table: str, key: str, value: str | None) -> None:
        self.version += 1
        rows = self.rows.setdefault(table, {})
        rows[key] = _Row(value, self.version)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


async def serve(host: str = "127.0.0.1", port: int = 0) -> StoreStandin:
    """Starts a table service."""
    store = StoreStandin()
    app = web.Application(middlewares=[_name_era(store), _faults(store)])
    app.add_routes(
        [
            web.get("/copperloom/rows-get", _bind(store, _get)),
            web.get("/copperloom/rows-feed", _bind(store, _feed)),
            web.post("/copperloom/rows-tx", _bind(store, _transact)),
        ]
    )
    store.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await store.runner.setup()
    site = web.TCPSite(store.runner, host, port)
    await site.start()
    store.address = "{}:{}".format(*store.runner.addresses[0][:2])
    return store


def _name_era(store: StoreStandin):
    @web.middleware
    async def middleware(request, handler):
        response = await handler(request)
        if store.era is not None:
            response.headers["Store-Era"] = str(store.era)
        return response

    return middleware


def _faults(store: StoreStandin):
    @web.middleware
    async def middleware(request, handler):
        name = request.path.rpartition("/")[2]
        store.calls[name] = store.calls.get(name, 0) + 1
        if store.unresponsive:
            await asyncio.sleep(3600)
        if store.down is not None:
            return web.Response(status=store.down)
        if request.remote in store.rejected_callers:
            return web.Response(status=503)
        return await handler(request)

    return middleware


def _bind(store, function):
    async def handler(request: web.Request) -> web.Response:
        return await function(store, request)

    return handler


async def _get(store: StoreStandin, request: web.Request) -> web.Response:
    name = request.query["table"]
    await asyncio.sleep(store.delays_s.get(name, 0.0))
    store.pages[name] = store.pages.get(name, 0) + 1
    table = store.rows.get(name, {})
    start = request.query.get("from", "")
    live = sorted(
        (key, row)
        for key, row in table.items()
        if row.value is not None and key >= start
    )
    page = [_encode(k, r) for k, r in live[:_MAX_ROWS]]
    return _json(store, page, more=len(live) > _MAX_ROWS)


async def _feed(store: StoreStandin, request: web.Request) -> web.Response:
    table = request.query["table"]
    after = int(request.query["after"])
    end = asyncio.get_running_loop().time()
    end += int(request.query["wait_ms"]) / 1000
    while True:
        is_unknown = store.era is not None and after > store.version
        if after < store.history_from or is_unknown:
            return web.Response(status=410)
        if request.remote in store.rejected_callers or store.down is not None:
            return web.Response(status=503)
        rows = store.rows.get(table, {})
        found = sorted(
            ((k, r) for k, r in rows.items() if r.version > after),
            key=lambda item: item[1].version,
        )
        left = end - asyncio.get_running_loop().time()
        if found or left <= 0:
            return _json(store, [_encode(k, r) for k, r in found])
        try:
            async with asyncio.timeout(left):
                await store.changed.wait()
        except TimeoutError:
            continue


async def _transact(store: StoreStandin, request: web.Request) -> web.Response:
    body = msgspec.json.decode(await request.read())
    for expected in body.get("expect", []):
        row = store.rows.get(expected["table"], {}).get(expected["key"])
        version = row.version if row and row.value is not None else 0
        if version != expected["ver"]:
            return web.json_response({"rows": []}, status=412)
    for row in body.get("writes", []):
        store._set(row["table"], row["key"], row["value"])
    for row in body.get("remove", []):
        store._set(row["table"], row["key"], None)
    if store.lost_responses:
        store.lost_responses -= 1
        request.transport.abort()
    return _json(store, [])


def _encode(key: str, row: _Row) -> dict:
    if row.value is None:
        return {"key": key, "ver": row.version, "removed": True}
    return {"key": key, "ver": row.version, "value": row.value}


def _json(store: StoreStandin, rows, more: bool = False) -> web.Response:
    return web.json_response(
        {"rows": rows, "has_more": more, "ver": store.version, "now_ms": 0}
    )
