"""Runs calls against a system and checks the recorded history.

The calls of a trial run as tasks, so that faults can be injected meanwhile.
`settle` waits for all calls, fetches the record of runs from the targets, and
fails the test if the history breaks any guarantee.
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

# Covers repeated cancellations and the engines' periodic clean-up.
_MEMORY_FREE_LIMIT_S = 20.0
_POLL_S = 0.02
# Margins for the duration of a kill, and for a resumed entry to process its
# backlog.
_KILL_MARGIN_S = 1.0
_RESUME_MARGIN_S = 2.0
_CALLS_LIMIT_S = 60.0


@dataclasses.dataclass
class Trial:
    """A system under test and the history of its calls.

    Attributes:
        system: The system.
        session: HTTP client of the callers.
        history: Recorded calls, runs, faults and changes.
        tasks: Tasks of all calls, also of those that ended.
        leaving: Monotonic time of the stop signal, by entry.
    """

    system: systems.System
    session: aiohttp.ClientSession
    history: history.History
    tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)


async def start_trial(case, system: systems.System) -> Trial:
    """Starts a trial; its HTTP client is closed when the test case ends."""
    # Debug mode, which the test case enables, logs every slow loop step.
    asyncio.get_running_loop().set_debug(False)
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    case.addAsyncCleanup(session.close)
    return Trial(system, session, history.History())


def begin(
    trial: Trial, entry: str, req: callers.Ask
) -> tuple[asyncio.Task, callers.ReceivedAnswer]:
    """Begins a call; returns its task and the answer as it arrives."""
    received = callers.ReceivedAnswer()
    process = trial.system.entries[entry]
    sent = callers.ask(trial.session, process, req, received=received)
    return _track(trial, sent), received


def resume(
    trial: Trial, entry: str, req: callers.Ask, received: callers.ReceivedAnswer
) -> asyncio.Task:
    """Begins to fetch the rest of a cut answer at another entry."""
    process = trial.system.entries[entry]
    return _track(trial, callers.resume(trial.session, process, req, received))


def _track(trial: Trial, sent) -> asyncio.Task:
    async def run() -> history.Call:
        call = await sent
        trial.history.calls.append(call)
        return call

    task = asyncio.create_task(run())
    trial.tasks.append(task)
    return task


async def ask(trial: Trial, entry: str, req: callers.Ask) -> history.Call:
    """Makes a call and waits until it ends."""
    return await begin(trial, entry, req)[0]


async def extra_entry(case, trial: Trial, name: str, **sections: dict) -> None:
    """Starts an entry for a single test case, which may kill it."""
    systems.add_entry(case, trial.system, name, sections)
    case.addCleanup(trial.system.entries.pop, name, None)
    process = trial.system.entries[name]
    await until(
        lambda: admits(process), processes.READY_LIMIT_S, f"{name} ready"
    )


def kill(trial: Trial, entry: str) -> None:
    """Kills an entry and records the fault."""
    trial.system.entries[entry].kill()
    trial.history.faults.append(
        history.Fault(entry, time.monotonic() - _KILL_MARGIN_S, float("inf"))
    )


@contextlib.contextmanager
def frozen(trial: Trial, entry: str):
    """Freezes an entry for the duration of the body."""
    process = trial.system.entries[entry]
    since = time.monotonic()
    process.freeze()
    try:
        yield
    finally:
        process.resume()
        fault = history.Fault(entry, since, time.monotonic() + _RESUME_MARGIN_S)
        trial.history.faults.append(fault)


def fault(case, system: systems.System, *links: str, **changes) -> None:
    """Injects faults into proxy links until the test case ends."""
    for link in links:
        system.proxy.control(pair=link, **changes)
    case.addCleanup(heal, system)


def heal(system: systems.System) -> None:
    """Removes all faults of the proxy and resets its connections."""
    system.proxy.control(**dataclasses.asdict(PairFaults()), reset=True)


async def until(condition, limit_s: float, description: str):
    """Waits for a condition without blocking the event loop.

    See copperloom.tests.processes.wait_until. The condition runs in a thread,
    since a call to a frozen process would delay the callers' timeouts.
    """
    deadline = time.monotonic() + limit_s
    while True:
        value = await asyncio.to_thread(processes.attempt, condition)
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {limit_s} s: {description}")
        await asyncio.sleep(_POLL_S)


async def settle(case, trial: Trial, *, memory: bool = True) -> None:
    """Waits for all calls and fails the case on any broken guarantee."""
    async with asyncio.timeout(_CALLS_LIMIT_S):
        await asyncio.gather(*trial.tasks)
    if memory:
        await memory_back(trial)
    collect_runs(trial)
    broken = history.check(trial.history)
    case.assertEqual(broken, [], "\n".join(str(one) for one in broken))


async def memory_back(trial: Trial) -> None:
    """Waits until the engines' memory is free, and records its use."""
    engines = trial.system.engines
    try:
        await until(
            lambda: not any(in_use(e) for e in engines.values()),
            _MEMORY_FREE_LIMIT_S,
            "engine memory released",
        )
    except AssertionError:
        # The checker reports the memory in use.
        pass
    for name, engine in engines.items():
        tokens = in_use(engine)
        record = history.Memory(name, tokens, 0, time.monotonic())
        trial.history.memory.append(record)


def in_use(engine: processes.Process) -> int:
    """Returns an engine's KV memory in use, in tokens."""
    return engine.truth()["kv_used"]


def collect_runs(trial: Trial) -> None:
    """Adds the runs that the targets recorded to the history."""
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
    """Returns the number of runs at all targets under a key."""
    found = 0
    for process in trial.system.targets().values():
        found += sum(run["key"] == key for run in process.truth()["runs"])
    return found


def admin(entry: processes.Process, method: str, path: str, body=None) -> dict:
    """Makes a call to the operators' interface of an entry."""
    return processes.call(
        entry.address,
        method,
        f"/admin/v1/{path}",
        body,
        token=systems.OPERATOR_TOKEN,
    )


def read_configuration(trial: Trial, entry: str) -> history.ConfigurationRead:
    """Records an entry's configuration version and whether it admits work.

    Admission is probed before the version is read: otherwise an entry that
    updates in between would appear to admit work with an old version.
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
    """Returns whether an entry admits work.

    An entry that admits work rejects an unknown model with 404.
    """
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
    """Makes a change through an entry.

    Returns:
        The reply, with the HTTP status as "status".
    """
    body = {
        "operator": operator,
        "puts": [configuration.encode_entity(e) for e in entities],
        "seen_version": seen_version,
        "wait_s": wait_s,
    }
    url = f"http://{trial.system.entries[entry].address}/admin/v1/changes"
    headers = {"Authorization": f"Bearer {systems.OPERATOR_TOKEN}"}
    async with trial.session.post(url, json=body, headers=headers) as reply:
        result = await reply.json() | {"status": reply.status}
    if reply.status == 200:
        record = history.Accepted(result["version"], operator, time.monotonic())
        trial.history.accepted.append(record)
    return result
