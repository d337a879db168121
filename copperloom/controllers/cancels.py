"""Cancels of streams that engines have not confirmed yet.

If a cancel were lost, its stream would occupy engine memory until the answer
ends, and a held part of a prompt would occupy it forever. Each cancel is
therefore retried until its engine confirms it. A restarted engine confirms
cancels of unknown streams, so a new boot needs no special handling.
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
# Long enough that the retries of all entries don't overload a failing engine,
# and short enough that a recovered one soon frees its memory.
_MAX_RETRY_S = 10.0
# Cancels at an engine that is no longer configured are dropped if it has not
# replied for this duration.
_ABANDON_AFTER_S = 60.0


@dataclasses.dataclass(eq=False)
class _Engine:
    """Unconfirmed cancels of one engine. Times are monotonic, in seconds.

    Attributes:
        due: Time from which each stream may be cancelled, by stream name.
        retry_at: Time before which the engine is not called.
        failures: Failed calls since the last successful one.
        failing_since: Time of the first of these failures.
        task: Task that sends the cancels, if one was started.
    """

    due: dict[str, float] = dataclasses.field(default_factory=dict)
    retry_at: float = float("-inf")
    failures: int = 0
    failing_since: float = 0.0
    task: asyncio.Task | None = None


class Cancels:
    """Unconfirmed cancels of an entry.

    Attributes:
        engines: Engines with unconfirmed cancels, by address.
        rng: Source of the jitter.
        confirmed: Number of cancels that engines have confirmed.
    """

    def __init__(self, rng: random.Random):
        self.engines: dict[str, _Engine] = {}
        self.rng = rng
        self.confirmed = 0


def add(cancels: Cancels, address: str, stream: str, due: float) -> None:
    """Adds a cancel that is to be sent from the monotonic time `due` on."""
    engine = cancels.engines.setdefault(address, _Engine())
    engine.due[stream] = min(due, engine.due.get(stream, due))


def pending(cancels: Cancels) -> int:
    """Returns the number of unconfirmed cancels."""
    return sum(len(engine.due) for engine in cancels.engines.values())


def run_due(
    cancels: Cancels,
    targets: Targets,
    now: float,
    *,
    is_configured: Callable[[str], bool],
    spawn: Callable[..., asyncio.Task],
) -> None:
    """Starts a task for each engine that has a cancel due.

    The task of an engine sends one cancel at a time and ends at the first
    failure, so that an unresponsive engine costs a single call at a time.

    Args:
        cancels: Unconfirmed cancels of the entry.
        targets: Client of the targets.
        now: Monotonic time in seconds.
        is_configured: Returns whether an address is that of a configured
            target.
        spawn: Starts a task for a coroutine.
    """
    for address, engine in list(cancels.engines.items()):
        if _is_abandoned(engine, now) and not is_configured(address):
            logs.event("cancels_given_up", address=address, n=len(engine.due))
            del cancels.engines[address]
            continue
        is_idle = engine.task is None or engine.task.done()
        has_due = any(due <= now for due in engine.due.values())
        if is_idle and has_due and engine.retry_at <= now:
            engine.task = spawn(_send_due(cancels, engine, targets, address))


def _is_abandoned(engine: _Engine, now: float) -> bool:
    return engine.failures > 0 and now - engine.failing_since > _ABANDON_AFTER_S


async def _send_due(
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
            _back_off(cancels, engine, loop.time())
            logs.event(
                "cancel_failed", stream=name, address=address, code=error.code
            )
            return
        engine.due.pop(name, None)
        engine.failures = 0
        cancels.confirmed += 1
    if not engine.due and cancels.engines.get(address) is engine:
        del cancels.engines[address]


def _back_off(cancels: Cancels, engine: _Engine, now: float) -> None:
    if not engine.failures:
        engine.failing_since = now
    delay_s = min(_FIRST_RETRY_S * 2**engine.failures, _MAX_RETRY_S)
    engine.failures += 1
    engine.retry_at = now + delay_s * cancels.rng.uniform(0.5, 1.0)
