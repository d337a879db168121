"""Runs instances as processes, and restarts them whenever they end."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys

import aiohttp

from copperloom.platform.standins import disturbed_start, links, wire
from copperloom.standins import proxy

__all__ = ["COLD_OVER", "COLD_SLACK", "GRACE_S", "Front", "keep"]

# Covers the time for which a stopping process still accepts requests, the
# callers' timeout and the shutdown, so that no request is cut.
GRACE_S = 6.0
# Settings of the bound for cold targets.
COLD_OVER = 1.5
COLD_SLACK = 5.0
_ROOT = pathlib.Path(__file__).resolve().parents[2]
_SETTINGS = pathlib.Path(__file__).resolve().parent / "front.ini"
_RESTART_DELAY_S = 0.2


class Front:
    """An instance that runs as a process.

    Attributes:
        number: Number of the instance.
        ip: IP address that it listens on.
        ports: Ports that it listens on.
        address: IP:port for callers.
        table_link: Proxy between the instance and the table service.
        links: Links between the instance and the targets.
        partitions: Monotonic times at which it was partitioned from all
            targets, and at which that ended.
        path: File with the settings that it gets from the platform.
        redirects: File with the addresses of the links.
        read_cost_ms: Delay of its event loop for each request that it reads,
            in milliseconds.
        log_path: Path of the file with its output.
        log: That file.
        process: The process; None before the first start.
        disrupted_at: Monotonic times at which it was killed, paused or resumed.
        signalled_at: Monotonic times of all signals and starts.
        started_at: Monotonic times of all starts.
    """

    def __init__(self, number: int, seed: int, folder: str):
        self.number = number
        # Distinct addresses allow other soaks and tests to run concurrently.
        octet = 16 + os.getpid() % 200
        ip = f"127.{octet}.{seed % 250}.{number + 2}"
        self.ip = ip
        self.ports = tuple(_free_port(ip) for _ in range(3))
        self.address = f"{ip}:{self.ports[0]}"
        self.table_link: proxy.Pair | None = None
        self.links = links.Links()
        self.read_cost_ms = 0.0
        self.partitions: list[tuple[float, float]] = []
        self.path = pathlib.Path(folder) / f"front-{number}.json"
        self.redirects = pathlib.Path(folder) / f"links-{number}.json"
        self.log_path = pathlib.Path(folder) / f"front-{number}.log"
        self.log = self.log_path.open("ab")
        self.process: asyncio.subprocess.Process | None = None
        self.disrupted_at: list[float] = []
        self.signalled_at: list[float] = []
        self.started_at: list[float] = []

    async def start(self) -> None:
        """Writes the settings and starts the process."""
        now = asyncio.get_running_loop().time()
        self.signalled_at.append(now)
        self.started_at.append(now)
        self.path.write_text(json.dumps(self._settings()))
        self.redirects.write_text(json.dumps(self.links.addresses()))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "copperloom.platform.standins.disturbed_start",
            f"--settings={_SETTINGS}",
            cwd=_ROOT,
            env=os.environ
            | {
                wire.INSTANCE_ENVIRONMENT: str(self.path),
                disturbed_start.REDIRECTS_ENVIRONMENT: str(self.redirects),
                disturbed_start.READ_COST_ENVIRONMENT: str(self.read_cost_ms),
            },
            stdout=self.log,
            stderr=self.log,
        )

    async def ready(self, session: aiohttp.ClientSession) -> bool:
        """Returns whether the instance reports that it is ready."""
        url = f"http://{self.ip}:{self.ports[1]}/"
        try:
            async with session.get(url) as resp:
                return resp.status == 200
        except aiohttp.ClientError:
            return False

    def signal(self, signum: int) -> None:
        """Sends a signal; records those that may cut or delay requests."""
        if self.process.returncode is not None:
            return
        self.signalled_at.append(asyncio.get_running_loop().time())
        if signum in (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT):
            self.disrupted_at.append(asyncio.get_running_loop().time())
        self.process.send_signal(signum)

    async def end(self) -> None:
        """Kills the process and waits for it."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.log.close()

    def _settings(self) -> dict:
        return wire.instance_settings(
            f"front-{self.number}",
            self.ip,
            self.ports,
            self.table_link.listen,
            zone="ab"[self.number % 2],
            bounds={
                "grace_s": GRACE_S,
                "cold_over": COLD_OVER,
                "cold_slack": COLD_SLACK,
            },
        )


async def keep(front: Front) -> None:
    """Restarts the process whenever it ends, as the platform does."""
    while True:
        await front.process.wait()
        await asyncio.sleep(_RESTART_DELAY_S)
        await front.start()


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]
