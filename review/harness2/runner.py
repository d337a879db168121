"""A sound runner: plain answers, streams, reports, health and orders."""

import asyncio
import json
import time

from review.harness2 import web


class Runner:
    """A runner and what reached it."""

    def __init__(self, name: str, service: str, host: str, record, zone="a"):
        self.name = name
        self.service = service
        self.host = host
        self.zone = zone
        self.record = record
        self.address = ""
        self.events = 16
        self.pause_s = 0.05
        self.work_s = 0.09
        self.is_leaving = False
        # Answers a request in place of a sound runner; None for a sound one.
        self.answer_badly = None
        # Request id, path, whether it ran, and its time.
        self.arrived: list[tuple[str, str, bool, float]] = []
        self.lost: list[str] = []
        self.running: dict[str, float] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Begins to serve."""
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    def entry(self, **changes) -> dict:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 4,
            "born": 1_700_000_000_000,
        } | changes

    def exit(self) -> None:
        """Ends the runner, with all that it works on."""
        self.lost += list(self.running)
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            web.reset(writer)

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while request := await web.read_request(reader, writer):
                await self._answer(request)
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request: web.Request) -> None:
        expected = request.headers.get("copperloom-expect-instance", self.name)
        own = {"Copperloom-Served-By": self.name}
        if expected != self.name:
            _send(request, 421, own | {"Copperloom-Not-Executed": "1"})
        elif request.path in ("/health", "/"):
            _send(request, 503 if self.is_leaving else 200, own)
        elif request.path == "/copperloom/report":
            report = {
                "stage": "hybrid",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 0,
                "waiting": 0,
                "running": len(self.running),
                "kv_used": 0,
                "kv_total": 315_000,
                "handles": 0,
            }
            _send(request, 200, own, json.dumps(report).encode())
        elif request.path == "/copperloom/order":
            _send(request, 200, own, b'{"free":315000}')
        else:
            await self._run(request, own)

    async def _run(self, request: web.Request, own: dict) -> None:
        name = request.headers.get("copperloom-request-id", "")
        now = time.monotonic()
        self.arrived.append((name, request.path, True, now))
        self.running[name] = now
        headers = own | {
            "Copperloom-Request-Id": name,
            "Copperloom-Response-Seal": f"s.{name}.{self.name}",
            "Copperloom-Instance-Load": f"{len(self.running)},0,8",
        }
        try:
            if self.answer_badly is not None:
                await self.answer_badly(request, headers)
            elif "copperloom-token-counts" in request.headers:
                await self._stream(request, headers)
            else:
                await asyncio.sleep(self.work_s)
                body = f"{self.name} ran {name} ".encode().ljust(800, b".")
                _send(request, 200, headers, body)
        finally:
            self.running.pop(name, None)

    async def _stream(self, request: web.Request, headers: dict) -> None:
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        first = int(request.headers.get("last-event-id") or 0) + 1
        request.writer.write(web.head(200, headers))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            request.writer.write(web.chunk(event))
            await request.writer.drain()
        request.writer.write(b"0\r\n\r\n")


def _send(request, status: int, headers: dict, body: bytes = b"") -> None:
    headers = headers | {"Content-Length": str(len(body))}
    request.writer.write(web.head(status, headers) + body)
