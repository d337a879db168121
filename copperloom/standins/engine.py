"""A model engine for tests and trials, as docs/PROTOCOLS.md tells."""

import asyncio
import random
import secrets

from copperloom.standins import (
    batch,
    calls,
    ledger,
    parts,
    server,
    settings,
)

__all__ = ["Engine", "serve"]

_FALL_BEHIND_S = 0.2
_SWEEP_S = 0.25
_BOOT_BYTES = 6


class Engine:
    """State of one engine.

    Attributes:
        spec: Its settings.
        rng: Source of all that is random.
        faults: What a test asked for.
        ledger: What really happened; outlives a death.
        boot: Name of this life.
        batch: All that a death loses.
        any_model: Whether it takes work for any model.
        models: Models loaded.
        roles: What orders of other kinds set, by kind.
        fencing: The highest fencing number obeyed; lost by a death.
        tombstones: Cancelled names to the time at which they are forgotten.
        report: The load report that is shown and the time it was taken.
        pending: The report that will be shown next.
        wake: Set when there is work.
        loop: The event loop.
        parts: Watches over other engines' parts.
    """

    def __init__(self, spec: settings.EngineSection):
        self.spec = spec
        self.rng = random.Random(spec.seed)
        self.faults = server.Faults()
        self.ledger = ledger.Ledger()
        self.wake = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.parts = parts.Parts()
        self.any_model = not spec.models
        self.roles: dict[str, str] = {}
        self.batch = batch.Batch(spec, self.rng)
        self.reset()

    def reset(self) -> None:
        """Begins a life: everything in memory is as new."""
        # Not from the seed: a process started again must have a new one.
        self.boot = secrets.token_hex(_BOOT_BYTES)
        for stream in list(self.batch.streams.values()):
            batch.remove(
                self.batch, stream, batch.StreamState.FAILED, self.now()
            )
        self.batch = batch.Batch(self.spec, self.rng)
        self.models = set(self.spec.models)
        self.fencing = 0
        self.tombstones: dict[str, float] = {}
        self.pending = (self.now(), batch.load(self.batch, self.boot))
        self.report = self.pending

    def now(self) -> float:
        """Returns the monotonic time, in seconds."""
        return self.loop.time()


async def serve(program: settings.EngineSettings) -> server.Server:
    """Starts an engine."""
    engine = Engine(program.engine)
    tasks = [
        asyncio.create_task(_generate(engine)),
        asyncio.create_task(_sweep(engine)),
        asyncio.create_task(_report(engine)),
    ]

    async def close() -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await engine.parts.close()

    return await server.start(
        program.engine.listen,
        calls.routes(engine),
        faults=engine.faults,
        truth=lambda: _truth(engine),
        control=lambda changes: _control(engine, changes),
        close=close,
    )


async def _generate(engine: Engine) -> None:
    """Runs step after step, each in its time.

    Late steps are caught up with, up to a limit, so that a busy machine
    slows the engine down less than it would by sleeping afresh each step.
    """
    due = engine.loop.time()
    while True:
        now = engine.loop.time()
        if now < engine.faults.frozen_until:
            await asyncio.sleep(engine.faults.frozen_until - now)
            continue
        if not batch.busy(engine.batch):
            engine.wake.clear()
            await engine.wake.wait()
            due = engine.loop.time()
        current = engine.batch
        took = batch.begin(current, engine.now())
        due += took * engine.faults.slow_factor / engine.spec.time_scale
        due = max(due, engine.loop.time() - _FALL_BEHIND_S)
        await asyncio.sleep(max(due - engine.loop.time(), 0))
        batch.finish(current, engine.now())


async def _sweep(engine: Engine) -> None:
    """Forgets cancelled names and finished streams that are old."""
    while True:
        await asyncio.sleep(_SWEEP_S)
        now = engine.now()
        for name, until in list(engine.tombstones.items()):
            if until < now:
                del engine.tombstones[name]
        over = now - engine.spec.linger_s
        for stream in list(engine.batch.streams.values()):
            if stream.state in batch.OVER and stream.over_at < over:
                del engine.batch.streams[stream.name]


async def _report(engine: Engine) -> None:
    """Shows each load report one period after it was taken."""
    while engine.spec.report_lag_s:
        await asyncio.sleep(engine.spec.report_lag_s)
        engine.report = engine.pending
        engine.pending = (engine.now(), batch.load(engine.batch, engine.boot))


def _control(engine: Engine, changes: dict) -> None:
    down_s = changes.pop("die", None)
    if down_s is not None:
        engine.faults.dead_until = engine.now() + down_s
        engine.reset()
    if changes:
        raise ValueError(f"unknown changes: {sorted(changes)}")


def _truth(engine: Engine) -> dict:
    return {
        "boot": engine.boot,
        "kv_used": engine.batch.kv_used,
        "streams": {
            stream.name: stream.state
            for stream in engine.batch.streams.values()
        },
        "models": sorted(engine.models),
        "roles": engine.roles,
        "fencing": engine.fencing,
        **ledger.tell(engine.ledger),
    }
