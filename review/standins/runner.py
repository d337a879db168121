"""A runner of a plain service, which keeps a list of what it got."""

import asyncio
import dataclasses
import json
import time

from review.standins import web


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a runner.

    Attributes:
        at: Monotonic time.
        runner: Id of the runner.
        id: Id of the request.
        path: Its path and query.
        tenant: The tenant that it was passed on for.
        ran: Whether the runner began to work on it.
    """

    at: float
    runner: str
    id: str
    path: str
    tenant: str
    ran: bool


class Runner:
    """A runner.

    Attributes:
        name: Its id.
        service: Its service.
        zone: Its zone.
        work_s: How long it works on a request.
        answer_bytes: Least number of bytes of an answer's body.
        leaving: Whether it says that it leaves.
        arrivals: The requests that it got.
        server: Its listener.
    """

    def __init__(self, name, service, zone, work_s=0.02):
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.answer_bytes = 0
        self.leaving = False
        self.arrivals: list[Arrival] = []
        self.server: asyncio.Server | None = None
        self.born = int(time.time() * 1000)

    async def open(self, host: str = "127.0.0.1") -> None:
        """Starts to listen."""
        self.server = await web.serve(self._handle, host)

    def entry(self, state: str = "ready") -> dict:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": web.address_of(self.server),
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": self.born,
        }

    async def _handle(self, request: web.Message, writer) -> None:
        path = request.first[1]
        headers = {"Copperloom-Served-By": self.name}
        headers["Copperloom-Instance-Load"] = "0,0,8"
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if path == "/health":
            status = 503 if self.leaving else 200
            writer.write(web.answer(status, headers))
            return
        if path == "/copperloom/report":
            report = {"stage": "hybrid", "models": [], "waiting": 0}
            writer.write(web.answer(200, headers, json.dumps(report).encode()))
            return
        expected = request.headers.get("copperloom-expect-instance", self.name)
        is_meant = expected == self.name
        request_id = request.headers.get("copperloom-request-id", "")
        tenant = request.headers.get("copperloom-tenant", "")
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                self.name,
                request_id,
                path,
                tenant,
                is_meant,
            )
        )
        headers["Copperloom-Request-Id"] = request_id
        if not is_meant:
            headers["Copperloom-Not-Executed"] = "1"
            writer.write(web.answer(421, headers))
            return
        await asyncio.sleep(self.work_s)
        headers["Copperloom-Response-Seal"] = f"s.{request_id}"
        body = f"{self.service} {self.name} {request_id}".encode()
        body += b"." * (self.answer_bytes - len(body))
        writer.write(web.answer(200, headers, body))
