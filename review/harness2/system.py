"""Starts fronts as the deploy file does, and sends them requests."""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

from review.harness2 import runner, store, web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
DRAIN_S = 2.0
STABILITY_S = 3.0
HISTORY_S = store.HISTORY_S
_READY_S = 45.0
_CASE_S = 110.0
# The deploy file's.
_METRICS_PORT = 9464
_BOUNDS = {
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
_ENGINE = {
    "slots": 8,
    "kv_tokens": 315000,
    "kv_bytes": 163840,
    "link_mbps": 400000.0,
    "stride": 51,
    "models": [{"name": "m"}],
    "step_ms": 0.85,
    "per_seq_ms": 0.0085,
    "context_per_k": 0.00285,
    "read_per_s": 177000.0,
    "pairs_per_m": 0.184,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "delays": [{"from": "a", "to": "b", "delay_ms": 1.4}],
    "usual": {"prompt": 11108, "answer": 1622},
    "hop_ms": 0.05,
}


class NotRunnableError(Exception):
    """The case can't run here."""


class Record:
    """The lines of a case's record."""

    def __init__(self, path: pathlib.Path):
        self.file = path.open("w")
        self.began_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes a line."""
        at = time.monotonic() - self.began_at
        self.file.write(f"{at:8.3f} {text}\n")
        self.file.flush()

    def at(self, moment: float) -> str:
        """Returns a moment as the record counts it."""
        return f"{moment - self.began_at:.3f}"


@dataclasses.dataclass
class Result:
    """A request and what its requester got."""

    id: str
    front: str
    path: str
    sent_at: float
    ended_at: float
    answer: web.Answer


class Front:
    """A front, as a process."""

    def __init__(self, name: str, settings: dict, folder: pathlib.Path):
        self.name = name
        self.settings = settings
        self.path = folder / f"{name}.json"
        self.log = (folder / f"{name}.log").open("ab")
        self.address = settings["listen"]["front"]
        self.process: asyncio.subprocess.Process | None = None
        self.started_at: list[float] = []

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = next(iter(deploy["roles"].values()))["run"].split(" ")
        self.path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "COPPERLOOM_SETTINGS": str(self.path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.started_at.append(time.monotonic())
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )

    async def is_ready(self) -> bool:
        """Returns whether it reports that it is ready."""
        answer = await web.call(
            self.settings["listen"]["readiness"],
            "GET",
            "/copperloom/ready",
            {"Host": "x"},
            timeout_s=1.0,
        )
        return answer.status == 200

    async def kill(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def signal(self, number: int) -> None:
        """Sends a signal."""
        self.process.send_signal(number)


class System:
    """A small deployment on loopback addresses."""

    def __init__(self, record: pathlib.Path):
        self.record = Record(record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.octet = _free_octet()
        self.store = store.Store(self.record)
        self.fronts: list[Front] = []
        self.runners: dict[str, runner.Runner] = {}
        self.results: list[Result] = []
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()
        self.version = 6

    async def add_runner(self, name: str, service: str) -> runner.Runner:
        """Starts a runner and registers it."""
        host = f"127.{self.octet}.2.{len(self.runners) + 1}"
        zone = "ab"[len(self.runners) % 2]
        made = runner.Runner(name, service, host, self.record, zone)
        await made.listen()
        self.runners[name] = made
        self.store.put("servers", name, made.entry())
        return made

    def write_routes(self, **changes) -> None:
        """Writes a desired state."""
        self.version += 1
        self.store.put("op", "config", document(self.version) | changes)

    async def start_fronts(self, count: int, **bounds) -> None:
        """Starts the fronts and waits until they are ready."""
        ips = [f"127.{self.octet}.1.{n + 1}" for n in range(count)]
        ports = [_free_port(ips[0]) for _ in range(4)]
        for number, ip in enumerate(ips):
            name = f"front-{'ab'[number % 2]}-{number + 1}"
            settings = _settings(name, ip, ports, ips)
            settings["zone"] = "ab"[number % 2]
            settings["bounds"] = _BOUNDS | bounds
            address = await self.store.listen(name, f"127.{self.octet}.3.1")
            settings["platform"]["address"] = address
            self.fronts.append(Front(name, settings, self.folder))
        for front in self.fronts:
            await front.start()
        end = time.monotonic() + _READY_S
        for front in self.fronts:
            while not await front.is_ready():
                if time.monotonic() > end:
                    raise NotRunnableError(f"{front.name} is not ready")
                await asyncio.sleep(0.1)
            front.settings["bootstrap"] = False
        self.record(f"{count} fronts are ready")

    async def send(self, front: Front, method: str, path: str, **changes):
        """Sends a request and keeps its result."""
        name = f"r{next(self.numbers):06d}"
        left_ms = changes.pop("left_ms", 10_000)
        headers = {
            "Host": HOST,
            "Copperloom-Request-Id": name,
            "Copperloom-Request-Deadline": str(left_ms),
            "Copperloom-Key": KEY,
        } | changes.pop("headers", {})
        sent_at = time.monotonic()
        answer = await web.call(
            front.address,
            method,
            path,
            headers,
            timeout_s=left_ms / 1000 + 1.0,
            **changes,
        )
        result = Result(
            name, front.name, path, sent_at, time.monotonic(), answer
        )
        self.results.append(result)
        return result

    def begin(self, work) -> asyncio.Task:
        """Runs something beside the case until it ends."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def close(self) -> None:
        """Ends all that was started, and writes what was sent and run."""
        for task in list(self.tasks):
            task.cancel()
        for front in self.fronts:
            await front.kill()
            front.log.close()
        for made in self.runners.values():
            made.exit()
        self.store.close()
        self._write_record()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def _write_record(self) -> None:
        for made in self.runners.values():
            for name, path, ran, at in made.arrived:
                what = "ran" if ran else "did not run"
                self.record(
                    f"at {self.record.at(at)} {made.name} {what} {name} {path}"
                )
        for result in self.results:
            answer = result.answer
            self.record(
                f"{result.id} {result.path} to {result.front}: sent"
                f" {self.record.at(result.sent_at)}, ended"
                f" {self.record.at(result.ended_at)}, status {answer.status},"
                f" {'complete' if answer.is_complete else 'incomplete'}"
                f" {answer.headers.get('copperloom-response-seal', '')}"
                f" {answer.error}"
            )


def document(version: int) -> dict:
    """Returns a desired state with a model service and a plain one."""
    stream = {
        "host": HOST,
        "kind": "streaming",
        "timeout_ms": 10000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "huvo11a",
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "gap_aim_ms": 250,
    }
    plain = {
        "host": HOST,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "priority": 2,
        "service": "wuno96b",
        "public": False,
        "sticky": False,
    }
    return {
        "version": version,
        "routes": [
            stream
            | {"name": "r-1", "path_prefix": "/stream/", "resumable": True},
            stream
            | {
                "name": "r-2",
                "path_prefix": "/once/",
                "resumable": False,
                "max_attempts": 1,
            },
            plain
            | {
                "name": "r-3",
                "path_prefix": "/admit/",
                "kind": "non_idempotent",
                "max_attempts": 1,
            },
            plain
            | {
                "name": "r-4",
                "path_prefix": "/status/",
                "kind": "idempotent",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": "huvo11a",
                "health_path": "/health",
                "max_conns": 374,
                "engine": _ENGINE,
            },
            {"name": "wuno96b", "health_path": "/health", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


def _settings(name: str, ip: str, ports: list[int], ips: list[str]) -> dict:
    front, ready, control, internal = ports
    return {
        "node_name": name,
        "role": "entry",
        "machine_class": "front",
        "serves": ["front", "control"],
        "ip": ip,
        "region": "wro",
        "zones": {"a": "wro", "b": "wro"},
        "listen": {
            "front": f"{ip}:{front}",
            "readiness": f"{ip}:{ready}",
            "control": f"{ip}:{control}",
        },
        "internal_ports": [internal, internal + 15],
        "seeds": [f"{seed}:{control}" for seed in ips[:3]],
        "bootstrap": True,
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
        "contracts": [
            "base",
            "drain",
            "config",
            "cost",
            "retry",
            "recover",
            "engine",
            "stream",
            "tenants",
            "platform",
            "spans",
        ],
        "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
        "platform": {
            "form": "table",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "tx_ms": 5.0,
            "part_writes_s": 200,
            "row_bytes": 65536,
            "across": False,
            "history_s": 20,
            "blob_bytes": 8388608,
            "blob_ms": 25.0,
            "blob_mb_s": 80.0,
        },
    }


def _free_octet() -> int:
    """Returns the second part of loopback addresses that no other run uses."""
    for octet in random.sample(range(20, 220), 100):
        with socket.socket() as sock:
            try:
                sock.bind((f"127.{octet}.1.1", _METRICS_PORT))
            except OSError:
                continue
            return octet
    raise NotRunnableError("no loopback addresses are free")


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def run(case, record: pathlib.Path) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if not, 2 if neither.

    Args:
        case: Gets the system and whether the disruption is to come; returns
            what broke the rule.
        record: File that gets what was sent, answered and run.
    """
    return asyncio.run(_run(case, record))


async def _run(case, record: pathlib.Path) -> int:
    system = System(record)
    task = asyncio.ensure_future(case(system, os.environ.get("TROUBLE") != "0"))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(_CASE_S):
            broken = await task
    except (Exception, asyncio.CancelledError) as error:
        system.record(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return 2
    finally:
        await system.close()
    for line in broken:
        system.record(f"BROKEN {line}")
        print(f"BROKEN {line}")
    system.record(f"{len(broken)} breaches")
    print(f"{len(broken)} breaches")
    return 1 if broken else 0
