"""A randomised soak of copperloom-front: real processes, faults from outside.

Usage:
  frontsoak [--schedules=N] [--seed=N] [--seconds=S]

Options:
  --schedules N  How many schedules to play [default: 10].
  --seed N       Seed of the first one; the next ones count up [default: 1].
  --seconds S    Length of each [default: 8].

Three instances run as processes; the table service and the targets run here,
on loopback, where every run of a request is seen. Callers keep using their
connections while processes are killed, paused and stopped, the table fails,
targets misbehave and routes change. What callers and targets saw is checked.
"""

import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile

import aiohttp
import docopt

from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import store as store_standin
from copperloom.platform.standins import target as target_standin

__all__ = ["Finding", "main", "play"]

_ROOT = pathlib.Path(__file__).resolve().parents[1]
_FRONTS = 3
_GRACE_S = 3.0
_READY_S = 20.0
_SLACK_S = 1.5
_WAIT_MS = 2500
_FAULTS = (
    target_standin.Fault.REFUSE,
    target_standin.Fault.RESET,
    target_standin.Fault.TRUNCATE,
    target_standin.Fault.OTHERS_ANSWER,
    target_standin.Fault.UNSEALED,
    target_standin.Fault.MUTE,
    target_standin.Fault.BREAK,
    target_standin.Fault.HALF_EVENT,
)


@dataclasses.dataclass(frozen=True)
class Finding:
    """A broken promise.

    Attributes:
        rule: Which.
        detail: What was seen.
    """

    rule: str
    detail: str


@dataclasses.dataclass(frozen=True)
class _Got:
    path: str
    id: str
    status: int
    body: bytes
    whole: bool
    seconds: float


class _Front:
    """One instance as a process, started again whenever it ends."""

    def __init__(self, number: int, seed: int, folder: str, store: str):
        self.number = number
        # Addresses of its own let other soaks and tests run beside it.
        network = 16 + os.getpid() % 200
        self.ip = f"127.{network}.{seed % 250}.{number + 2}"
        self.ports = [_free_port() for _ in range(3)]
        self.path = pathlib.Path(folder) / f"front-{number}.json"
        self.path.write_text(json.dumps(self._settings(store)))
        self.log = (pathlib.Path(folder) / f"front-{number}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.ports[0]}"

    def _settings(self, store: str) -> dict:
        front, ready, control = self.ports
        return {
            "node_name": f"front-{self.number}",
            "ip": self.ip,
            "zone": "a",
            "listen": {
                "front": f"{self.ip}:{front}",
                "readiness": f"{self.ip}:{ready}",
                "control": f"{self.ip}:{control}",
            },
            "internal_ports": [17_600, 17_610],
            "seeds": [],
            "bounds": {"grace_s": _GRACE_S},
            "platform": {"address": store},
        }

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "copperloom.daemons.front",
            f"--settings={_ROOT / 'bench' / 'front.ini'}",
            cwd=_ROOT,
            env=os.environ | {"COPPERLOOM_SETTINGS": str(self.path)},
            stdout=self.log,
            stderr=self.log,
        )

    async def ready(self, session: aiohttp.ClientSession) -> bool:
        url = f"http://{self.ip}:{self.ports[1]}/"
        try:
            async with session.get(url) as resp:
                return resp.status == 200
        except aiohttp.ClientError:
            return False

    def signal(self, number: int) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()
        self.log.close()


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class _Run:
    def __init__(self, seed: int, seconds: float):
        self.seed = seed
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.got: list[_Got] = []
        self.version = 1
        self.fronts: list[_Front] = []
        self.targets: dict[str, target_standin.TargetStandin] = {}
        self.store: store_standin.StoreStandin | None = None
        self.stopping = False


async def play(seed: int, seconds: float, folder: str) -> list[Finding]:
    """Plays one schedule; returns what was broken."""
    run = _Run(seed, seconds)
    run.store = await store_standin.serve()
    run.store.put("op", "config", fixtures.routes())
    for number in range(3):
        await _add_target(run, f"engine-{number}", "engines")
        await _add_target(run, f"plain-{number}", "plain")
    try:
        async with aiohttp.ClientSession() as session:
            await _start_fronts(run, folder, session)
            callers = [
                asyncio.ensure_future(_caller(run, session, n))
                for n in range(9)
            ]
            keepers = [asyncio.ensure_future(_keep(run, f)) for f in run.fronts]
            await _disturb(run)
            run.stopping = True
            await asyncio.gather(*callers)
            for task in keepers:
                task.cancel()
        await asyncio.sleep(0.5)
        return _check(run)
    finally:
        for front in run.fronts:
            await front.end()
        for target in run.targets.values():
            await target.close()
        await run.store.close()


async def _start_fronts(run: _Run, folder: str, session) -> None:
    run.fronts = [
        _Front(n, run.seed, folder, run.store.address) for n in range(_FRONTS)
    ]
    for front in run.fronts:
        await front.start()
    async with asyncio.timeout(_READY_S):
        for front in run.fronts:
            while not await front.ready(session):
                await asyncio.sleep(0.05)


async def _add_target(run: _Run, name: str, service: str) -> None:
    target = await target_standin.serve(name)
    target.service = service
    run.targets[name] = target
    run.store.put("servers", name, target.registration(service))


async def _keep(run: _Run, front: _Front) -> None:
    """Starts a process again when it ends, as the platform does."""
    while True:
        await front.process.wait()
        await asyncio.sleep(0.2)
        await front.start()


async def _caller(run: _Run, session, number: int) -> None:
    rng = random.Random(run.rng.random())
    sequence = 0
    while not run.stopping:
        sequence += 1
        path, method, prompt = rng.choice(
            (
                ("/read/x", "GET", 0),
                ("/write/x", "POST", 0),
                ("/chat/x", "POST", 4000),
                ("/once/x", "POST", 4000),
            )
        )
        front = rng.choice(run.fronts)
        got = await _ask(
            session, front, f"c{number}-{sequence}", path, method, prompt
        )
        if got is not None:
            run.got.append(got)
        await asyncio.sleep(rng.uniform(0.0, 0.05))


async def _ask(session, front, name, path, method, prompt) -> _Got | None:
    loop = asyncio.get_running_loop()
    headers = {
        "Host": fixtures.HOST,
        "Copperloom-Request-Id": name,
        "Copperloom-Request-Deadline": str(_WAIT_MS),
        "Copperloom-Key": fixtures.KEY,
    }
    if prompt:
        headers["Copperloom-Token-Counts"] = f"{prompt},100"
    begun = loop.time()
    body = b""
    status = 0
    whole = False
    limit = aiohttp.ClientTimeout(total=_WAIT_MS / 1000 + 4.0)
    try:
        async with session.request(
            method,
            f"http://{front.address}{path}",
            headers=headers,
            data=b"q" if method == "POST" else None,
            timeout=limit,
        ) as resp:
            status = resp.status
            async for part in resp.content.iter_any():
                body += part
            whole = True
    except aiohttp.ClientConnectorError:
        return None
    except (aiohttp.ClientError, TimeoutError, OSError):
        pass
    return _Got(path, name, status, body, whole, loop.time() - begun)


async def _disturb(run: _Run) -> None:
    end = asyncio.get_running_loop().time() + run.seconds
    steps = (
        _kill,
        _pause,
        _terminate,
        _store_down,
        _target_fault,
        _target_fault,
        _drain_target,
        _change_routes,
    )
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(run.rng.uniform(0.1, 0.7))
        await run.rng.choice(steps)(run)


async def _kill(run: _Run) -> None:
    run.rng.choice(run.fronts).signal(signal.SIGKILL)


async def _pause(run: _Run) -> None:
    front = run.rng.choice(run.fronts)
    front.signal(signal.SIGSTOP)
    await asyncio.sleep(run.rng.uniform(0.2, 1.2))
    front.signal(signal.SIGCONT)


async def _terminate(run: _Run) -> None:
    run.rng.choice(run.fronts).signal(signal.SIGTERM)


async def _store_down(run: _Run) -> None:
    run.store.down = run.rng.choice((503, 429))
    await asyncio.sleep(run.rng.uniform(0.2, 1.5))
    run.store.down = None


async def _target_fault(run: _Run) -> None:
    target = run.rng.choice(list(run.targets.values()))
    target.faults.extend([run.rng.choice(_FAULTS)] * run.rng.randint(1, 4))


async def _drain_target(run: _Run) -> None:
    name = run.rng.choice(list(run.targets))
    target = run.targets[name]
    row = target.registration(target.service, state="draining")
    run.store.put("servers", name, row)
    await asyncio.sleep(0.3)
    run.store.put("servers", name, target.registration(target.service))


async def _change_routes(run: _Run) -> None:
    run.version += run.rng.randint(1, 5)
    run.store.put("op", "config", fixtures.routes(run.version))


def _check(run: _Run) -> list[Finding]:
    runs = collections.Counter(i for t in run.targets.values() for i in t.runs)
    found = []
    for got in run.got:
        found += _check_one(got, runs[got.id])
    if any(t.running for t in run.targets.values()):
        # A target that is mute holds its request until the caller's side
        # closes the connection, which all have by now.
        names = [n for n, t in run.targets.items() if t.running]
        found.append(Finding("GONE", f"still at work: {names}"))
    if len(run.got) < run.seconds * 5:
        found.append(Finding("SERVED", f"only {len(run.got)} requests"))
    return found


def _check_one(got: _Got, runs: int) -> list[Finding]:
    found = []
    if got.path in ("/write/x", "/once/x") and runs > 1:
        found.append(Finding("TWICE", f"{got.id} ran {runs} times"))
    if got.path == "/write/x" and got.status == 503 and runs:
        found.append(Finding("REFUSED", f"{got.id} was refused and ran"))
    if got.status in (401, 404):
        found.append(Finding("DENIED", f"{got.id} got {got.status}"))
    if got.whole and got.status == 200:
        found += _check_body(got)
    if got.seconds > _WAIT_MS / 1000 + _SLACK_S + 1.2:
        # A pause of the process is 1.2 s at most.
        found.append(Finding("LATE", f"{got.id} took {got.seconds:.1f} s"))
    return found


def _check_body(got: _Got) -> list[Finding]:
    if got.path in ("/read/x", "/write/x"):
        good = got.body.endswith(f" did {got.id}".encode())
    else:
        wanted = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 6))
        good = got.body.decode() == wanted
    return [] if good else [Finding("MIXED", f"{got.id}: {got.body[:80]!r}")]


def main(argv: list[str] | None = None) -> int:
    """Plays schedules; returns how many broke something."""
    args = docopt.docopt(__doc__, argv)
    first = int(args["--seed"])
    bad = 0
    for seed in range(first, first + int(args["--schedules"])):
        folder = tempfile.mkdtemp(prefix=f"frontsoak-{seed}-")
        found = asyncio.run(play(seed, float(args["--seconds"]), folder))
        bad += bool(found)
        print(f"seed {seed}: {len(found)} broken {found[:5]} logs {folder}")
    print(f"{bad} schedules broke something")
    return min(bad, 1)


if __name__ == "__main__":
    sys.exit(main())
