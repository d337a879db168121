"""Starts daemons with the command of the deploy file, and ends them."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib

from review.standins import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
# Bounds of the smallest installation of the pages.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "lost_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "fail_closed": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 106,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 0,
    "stall_ms": 1500,
    "hold_max_ms": 20000,
    "free_ms": 4000,
    "idle_max_ms": 9000,
}
_READY_S = 25.0


class Daemon:
    """A daemon on its own loopback address.

    Attributes:
        name: Its name.
        ip: Its address.
        zone: Its zone.
        front: IP:port for requesters.
        process: The process, once started.
    """

    def __init__(self, name: str, ip: str, zone: str, folder: pathlib.Path):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.ports = [_free_port(ip) for _ in range(3)]
        self.front = f"{ip}:{self.ports[0]}"
        self.path = folder / f"{name}.json"
        self.log = (folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None

    @property
    def control(self) -> str:
        """IP:port for peers."""
        return f"{self.ip}:{self.ports[2]}"


class System:
    """The daemons of a case.

    Attributes:
        daemons: All daemons.
        folder: Temporary folder with their settings and logs.
        store_of: Addresses of the store that only one daemon uses, by name.
    """

    def __init__(self, zones: list[str], store: str, **bounds):
        self.store = store
        self.store_of: dict[str, str] = {}
        self.zones = sorted(set(zones))
        self.bounds = BOUNDS | bounds
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.daemons = [
            Daemon(f"front-{zone}-{n}", f"{net}.{n + 10}", zone, self.folder)
            for n, zone in enumerate(zones)
        ]

    async def start(self, daemon: Daemon, *, is_first: bool) -> None:
        """Starts a daemon as the platform does."""
        daemon.path.write_text(json.dumps(self._settings(daemon, is_first)))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["COPPERLOOM_SETTINGS"] = str(daemon.path)
        daemon.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdout=daemon.log,
            stderr=daemon.log,
        )

    async def start_all(self) -> None:
        """Starts all daemons and waits until they are ready."""
        for daemon in self.daemons:
            await self.start(daemon, is_first=True)
        await self.ready(self.daemons)

    async def ready(self, daemons: list[Daemon]) -> None:
        """Waits until daemons answer that they are ready."""
        end = time.monotonic() + _READY_S
        for daemon in daemons:
            address = f"{daemon.ip}:{daemon.ports[1]}"
            while True:
                reply = await web.call(
                    address,
                    "GET",
                    "/copperloom/ready",
                    {"Host": address},
                    timeout_s=1.0,
                )
                if reply is not None and reply.status == 200:
                    break
                if time.monotonic() > end:
                    log = (self.folder / f"{daemon.name}.log").read_text()
                    raise RuntimeError(f"not ready: {daemon.name} {log[-900:]}")
                await asyncio.sleep(0.1)

    async def end(self) -> None:
        """Ends all daemons that were started, by their ids."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    daemon.process.send_signal(signal.SIGCONT)
                    daemon.process.kill()
                await daemon.process.wait()
            daemon.log.close()

    def logged(self, *events: str) -> list[str]:
        """Returns the daemons' log lines that tell of some events."""
        lines = []
        for daemon in self.daemons:
            text = (self.folder / f"{daemon.name}.log").read_text()
            lines += [
                line
                for line in text.splitlines()
                if any(f"event={event}" in line for event in events)
                or "Traceback" in line
            ]
        return lines

    def _settings(self, daemon: Daemon, is_first: bool) -> dict:
        front, readiness, control = (
            f"{daemon.ip}:{port}" for port in daemon.ports
        )
        return {
            "node_name": daemon.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": daemon.ip,
            "zone": daemon.zone,
            "region": "wro",
            "zones": dict.fromkeys(self.zones, "wro"),
            "listen": {
                "front": front,
                "readiness": readiness,
                "control": control,
            },
            "internal_ports": [7340, 7355],
            "seeds": [d.control for d in self.daemons[:3]],
            "bootstrap": is_first,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": self.bounds,
            "platform": {
                "address": self.store_of.get(daemon.name, self.store),
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "tx_ms": 5.0,
                "history_s": 20,
            },
        }


def route(name: str, service: str, **changes) -> dict:
    """Returns a route of the desired state, at /NAME/."""
    row = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 8000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return row | changes


def desired_state(version: int, routes: list, services, tenants: dict) -> dict:
    """Returns a desired state; `tenants` holds the keys by tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": n, "health_path": "/health"} for n in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": keys} for name, keys in tenants.items()
        ],
    }


async def ask(
    daemon: Daemon,
    path: str,
    key: str,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    wait_ms: int = 5000,
) -> web.Message | None:
    """Sends a request to a daemon as a requester does."""
    headers = {
        "Host": HOST,
        "Copperloom-Request-Id": request_id,
        "Copperloom-Request-Deadline": str(wait_ms),
        "Copperloom-Key": key,
    }
    return await web.call(daemon.front, method, path, headers, body)


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]
