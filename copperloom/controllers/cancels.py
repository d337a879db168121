"""Cancels that engines have not confirmed yet.

A stream's memory is lost for the length of its answer, and that of a held
part for good, if its cancel is lost. So a cancel is kept, by engine, until
the engine confirms it. An engine that restarted confirms a name that it does
not know, so a changed boot needs no case of its own.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from copperloom import exception, logs
from copperloom.targets.interface import Targets

__all__ = ["Cancels", "add", "pending", "run_due"]

_TIMEOUT_S = 2.0
_FIRST_RETRY_S = 0.2
# Longer would let an engine that came back wait for its memory; shorter would
# have hundreds of entries knock at a dead engine all the time.
_MOST_RETRY_S = 10.0
# An engine that no configuration names, and that takes no connection for this
# long, is gone with its memory.
_GIVE_UP_S = 60.0


@dataclasses.dataclass(eq=False)
class _Engine:
    """What is to be cancelled at one engine.

    Attributes:
        due: Stream names to the time from which they may be cancelled.
        retry_at: Time before which it is left alone.
        failures: Tries since it last answered.
        silent_since: When the first of these failed.
        task: What works on it now.
    """

    due: dict[str, float] = dataclasses.field(default_factory=dict)
    retry_at: float = float("-inf")
    failures: int = 0
    silent_since: float = 0.0
    task: asyncio.Task | None = None


class Cancels:
    """All unconfirmed cancels of an entry.

    Attributes:
        engines: By address.
        rng: Source of the jitter.
        confirmed: Cancels that engines confirmed.
    """

    def __init__(self, rng: random.Random):
        self.engines: dict[str, _Engine] = {}
        self.rng = rng
        self.confirmed = 0


def add(cancels: Cancels, address: str, stream: str, due: float) -> None:
    """Keeps a cancel from `due` on until its engine confirms it."""
    engine = cancels.engines.setdefault(address, _Engine())
    engine.due[stream] = min(due, engine.due.get(stream, due))


def pending(cancels: Cancels) -> int:
    """Returns how many cancels are not confirmed."""
    return sum(len(engine.due) for engine in cancels.engines.values())


def run_due(
    cancels: Cancels,
    targets: Targets,
    now: float,
    *,
    configured: Callable[[str], bool],
    spawn: Callable[..., asyncio.Task],
) -> None:
    """Starts work on each engine that has a cancel due.

    One task works on an engine, one cancel after the other, and stops at the
    first failure: a frozen engine costs one call at a time, however many
    streams it had.

    Args:
        cancels: The state.
        targets: The targets' functions.
        now: Monotonic seconds.
        configured: Tells whether an address is a configured target's.
        spawn: Makes a task of a coroutine.
    """
    for address, engine in list(cancels.engines.items()):
        if _hopeless(engine, now) and not configured(address):
            logs.event("cancels_given_up", address=address, n=len(engine.due))
            del cancels.engines[address]
            continue
        free = engine.task is None or engine.task.done()
        ready = any(due <= now for due in engine.due.values())
        if free and ready and engine.retry_at <= now:
            engine.task = spawn(_work(cancels, engine, targets, address))


def _hopeless(engine: _Engine, now: float) -> bool:
    return engine.failures > 0 and now - engine.silent_since > _GIVE_UP_S


async def _work(
    cancels: Cancels, engine: _Engine, targets: Targets, address: str
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        now = loop.time()
        name = next((n for n, due in engine.due.items() if due <= now), None)
        if name is None:
            break
        try:
            await targets.cancel(address, name, timeout_s=_TIMEOUT_S)
        except exception.CopperloomError as error:
            _put_off(cancels, engine, loop.time())
            logs.event(
                "cancel_failed", stream=name, address=address, code=error.code
            )
            return
        engine.due.pop(name, None)
        engine.failures = 0
        cancels.confirmed += 1
    if not engine.due and cancels.engines.get(address) is engine:
        del cancels.engines[address]


def _put_off(cancels: Cancels, engine: _Engine, now: float) -> None:
    if not engine.failures:
        engine.silent_since = now
    wait_s = min(_FIRST_RETRY_S * 2**engine.failures, _MOST_RETRY_S)
    engine.failures += 1
    engine.retry_at = now + wait_s * cancels.rng.uniform(0.5, 1.0)
