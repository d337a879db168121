"""A simulated model engine that speaks the protocol of docs/PROTOCOLS.md."""

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

_MAX_BACKLOG_S = 0.2
_SWEEP_INTERVAL_S = 0.25
_BOOT_BYTES = 6


class Engine:
    """State of one engine.

    Attributes:
        spec: Settings of the engine.
        rng: Random number generator of the cache events.
        faults: Faults that are injected at present.
        ledger: Records of the work; kept across simulated crashes.
        boot: Boot id; a crash changes it.
        batch: Streams, KV memory and prefix cache; a crash empties it.
        any_model: Whether the engine accepts work for any model.
        models: Names of the loaded models.
        roles: Values set by orders other than "load_model", by kind.
        fencing: Highest fencing number obeyed; a crash resets it.
        tombstones: Expiry times of cancelled stream names, by name.
        report: Published load report as (time taken, report).
        pending: Load report to publish next, in the same form.
        wake: Set when there is work.
        loop: The event loop.
        parts: Client for prompt parts that other engines hold.
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
        """Simulates a restart: drops all that a real engine has in memory."""
        # Not derived from the seed, so that a restarted process differs.
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
    """Starts an engine and returns its server."""
    engine = Engine(program.engine)
    tasks = [
        asyncio.create_task(_run_iterations(engine)),
        asyncio.create_task(_remove_expired(engine)),
        asyncio.create_task(_publish_reports(engine)),
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


async def _run_iterations(engine: Engine) -> None:
    """Runs the iterations of the batch, each for its simulated duration.

    Each due time follows from the previous one, so that delays of the event
    loop are made up for, up to a maximum backlog.
    """
    due = engine.loop.time()
    while True:
        now = engine.loop.time()
        if now < engine.faults.frozen_until:
            await asyncio.sleep(engine.faults.frozen_until - now)
            continue
        if not batch.has_work(engine.batch):
            engine.wake.clear()
            await engine.wake.wait()
            due = engine.loop.time()
        current = engine.batch
        iteration_s = batch.begin_iteration(current, engine.now())
        due += iteration_s * engine.faults.slow_factor / engine.spec.time_scale
        due = max(due, engine.loop.time() - _MAX_BACKLOG_S)
        await asyncio.sleep(max(due - engine.loop.time(), 0))
        batch.finish_iteration(current, engine.now())


async def _remove_expired(engine: Engine) -> None:
    """Removes expired tombstones and ended streams past their retention."""
    while True:
        await asyncio.sleep(_SWEEP_INTERVAL_S)
        now = engine.now()
        for name, expires_at in list(engine.tombstones.items()):
            if expires_at < now:
                del engine.tombstones[name]
        oldest_kept = now - engine.spec.linger_s
        for stream in list(engine.batch.streams.values()):
            if (
                stream.state in batch.ENDED_STATES
                and stream.ended_at < oldest_kept
            ):
                del engine.batch.streams[stream.name]


async def _publish_reports(engine: Engine) -> None:
    """Publishes each load report one lag period after it was taken."""
    while engine.spec.report_lag_s:
        await asyncio.sleep(engine.spec.report_lag_s)
        engine.report = engine.pending
        engine.pending = (engine.now(), batch.load(engine.batch, engine.boot))


def _control(engine: Engine, changes: dict) -> None:
    downtime_s = changes.pop("die", None)
    if downtime_s is not None:
        engine.faults.dead_until = engine.now() + downtime_s
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
        **ledger.snapshot(engine.ledger),
    }
