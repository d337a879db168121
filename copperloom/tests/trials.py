"""Runs calls against a system and judges the recorded history.

A trial holds a history. Its calls run as tasks, so that faults can be put
between them; `settle` waits for all, asks the targets what really ran, and
fails the test on any broken promise.
"""

import asyncio
import contextlib
import dataclasses
import time
import urllib.error

import aiohttp

from copperloom import configuration, history
from copperloom.standins.proxy import PairFaults
from copperloom.tests import callers, processes, systems

__all__ = ["Trial", "begin", "change", "settle", "start_trial", "until"]

# Cancels are sent again until confirmed, and an engine sweeps twice a second.
_MEMORY_BACK_S = 20.0
_POLL_S = 0.02
# Time that the call that kills may take, and that a thawed entry may need to
# catch up with what came meanwhile.
_KILL_S = 1.0
_THAW_S = 2.0
_CALLS_LIMIT_S = 60.0


@dataclasses.dataclass
class Trial:
    """A system under test and what was seen of it.

    Attributes:
        system: The system.
        session: The callers' HTTP client.
        history: What was seen.
        tasks: Calls begun.
        leaving: Entries told to stop, with the time.
    """

    system: systems.System
    session: aiohttp.ClientSession
    history: history.History
    tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)


async def start_trial(case, system: systems.System) -> Trial:
    """Starts a trial whose client is closed when the case ends."""
    # The debug mode of the test case reports each slow step of the loop.
    asyncio.get_running_loop().set_debug(False)
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    case.addAsyncCleanup(session.close)
    return Trial(system, session, history.History())


def begin(
    trial: Trial, entry: str, want: callers.Ask
) -> tuple[asyncio.Task, callers.Seen]:
    """Begins a call; what comes is seen while it comes."""
    seen = callers.Seen()
    process = trial.system.entries[entry]
    sent = callers.ask(trial.session, process, want, seen=seen)
    return _track(trial, sent), seen


def resume(
    trial: Trial, entry: str, want: callers.Ask, seen: callers.Seen
) -> asyncio.Task:
    """Begins to read the rest of a cut answer."""
    process = trial.system.entries[entry]
    return _track(trial, callers.resume(trial.session, process, want, seen))


def _track(trial: Trial, sent) -> asyncio.Task:
    async def run() -> history.Call:
        call = await sent
        trial.history.calls.append(call)
        return call

    task = asyncio.create_task(run())
    trial.tasks.append(task)
    return task


async def ask(trial: Trial, entry: str, want: callers.Ask) -> history.Call:
    """Makes a call and waits for its end."""
    return await begin(trial, entry, want)[0]


async def extra_entry(case, trial: Trial, name: str, **sections: dict) -> None:
    """Starts an entry that only this case uses, and may kill."""
    systems.add_entry(case, trial.system, name, sections)
    case.addCleanup(trial.system.entries.pop, name, None)
    process = trial.system.entries[name]
    await until(
        lambda: admits(process), processes.READY_LIMIT_S, f"{name} serves"
    )


def kill(trial: Trial, entry: str) -> None:
    """Kills an entry and notes the fault."""
    trial.system.entries[entry].kill()
    trial.history.faults.append(
        history.Fault(entry, time.monotonic() - _KILL_S, float("inf"))
    )


@contextlib.contextmanager
def frozen(trial: Trial, entry: str):
    """Keeps an entry from running while the body runs."""
    process = trial.system.entries[entry]
    since = time.monotonic()
    process.freeze()
    try:
        yield
    finally:
        process.resume()
        fault = history.Fault(entry, since, time.monotonic() + _THAW_S)
        trial.history.faults.append(fault)


def fault(case, system: systems.System, *links: str, **changes) -> None:
    """Puts faults on links of the proxy, taken off when the case ends."""
    for link in links:
        system.proxy.control(pair=link, **changes)
    case.addCleanup(heal, system)


def heal(system: systems.System) -> None:
    """Takes all faults off the proxy's links, and closes what they spoilt."""
    system.proxy.control(**dataclasses.asdict(PairFaults()), reset=True)


async def until(condition, within_s: float, what: str):
    """Waits for a condition without holding up the loop.

    See copperloom.tests.processes.wait_until. The condition runs in a thread:
    a call to a frozen process would keep the callers' time limits from being
    looked at.
    """
    give_up = time.monotonic() + within_s
    while True:
        got = await asyncio.to_thread(processes.attempt, condition)
        if got:
            return got
        if time.monotonic() > give_up:
            raise AssertionError(f"not within {within_s} s: {what}")
        await asyncio.sleep(_POLL_S)


async def settle(case, trial: Trial, *, memory: bool = True) -> None:
    """Waits for all calls and fails the case on any broken promise."""
    async with asyncio.timeout(_CALLS_LIMIT_S):
        await asyncio.gather(*trial.tasks)
    if memory:
        await memory_back(trial)
    collect_runs(trial)
    broken = history.check(trial.history)
    case.assertEqual(broken, [], "\n".join(str(one) for one in broken))


async def memory_back(trial: Trial) -> None:
    """Waits for the engines' memory, and notes what they count then."""
    engines = trial.system.engines
    try:
        await until(
            lambda: not any(in_use(e) for e in engines.values()),
            _MEMORY_BACK_S,
            "memory back",
        )
    except AssertionError:
        # The checker reports it, with the figures.
        pass
    for name, engine in engines.items():
        tokens = in_use(engine)
        note = history.Memory(name, tokens, 0, time.monotonic())
        trial.history.memory.append(note)


def in_use(engine: processes.Process) -> int:
    """Returns the memory in use by an engine's own count, in tokens."""
    return engine.truth()["kv_used"]


def collect_runs(trial: Trial) -> None:
    """Adds what the targets say that they ran."""
    offset_s = time.monotonic() - time.time()
    for name, process in trial.system.targets().items():
        for run in process.truth()["runs"]:
            trial.history.runs.append(
                history.TargetRun(
                    name,
                    run.get("stream") or run.get("request"),
                    run.get("organisation", ""),
                    run["key"],
                    run["wall_s"] + offset_s,
                )
            )


def runs_of(trial: Trial, key: str) -> int:
    """Returns how often the targets ran work under a key."""
    found = 0
    for process in trial.system.targets().values():
        found += sum(run["key"] == key for run in process.truth()["runs"])
    return found


def admin(entry: processes.Process, method: str, path: str, body=None) -> dict:
    """Makes one operator's call."""
    return processes.call(
        entry.address,
        method,
        f"/admin/v1/{path}",
        body,
        token=systems.OPERATOR_TOKEN,
    )


def read_configuration(trial: Trial, entry: str) -> history.ConfigurationRead:
    """Asks an entry for its version, and whether it admits work.

    Whether it admits is asked first: its version can only be newer then, so
    that an entry that catches up in between is not blamed.
    """
    at = time.monotonic()
    process = trial.system.entries[entry]
    serving = admits(process)
    status = admin(process, "GET", "status")
    read = history.ConfigurationRead(
        entry, "", status["version"], status["preset"], at, serving
    )
    trial.history.reads.append(read)
    return read


def admits(entry: processes.Process) -> bool:
    """Whether an entry admits work, shown by how far a bad request gets."""
    try:
        processes.call(
            entry.address,
            "POST",
            "/v1/chat/completions",
            {"model": "none", "messages": [{"role": "user", "content": "x"}]},
            token=systems.token_of(systems.ORGANISATIONS[0]),
        )
    except urllib.error.HTTPError as error:
        return error.code == 404
    return False


async def change(
    trial: Trial,
    entry: str,
    *entities: configuration.Entity,
    operator: str = "anna",
    seen_version: int | None = None,
    wait_s: float = 0.0,
) -> dict:
    """Makes a change through an entry; returns the reply with its status."""
    body = {
        "operator": operator,
        "puts": [configuration.encode_entity(e) for e in entities],
        "seen_version": seen_version,
        "wait_s": wait_s,
    }
    url = f"http://{trial.system.entries[entry].address}/admin/v1/changes"
    headers = {"Authorization": f"Bearer {systems.OPERATOR_TOKEN}"}
    async with trial.session.post(url, json=body, headers=headers) as reply:
        told = await reply.json() | {"status": reply.status}
    if reply.status == 200:
        note = history.Accepted(told["version"], operator, time.monotonic())
        trial.history.accepted.append(note)
    return told
