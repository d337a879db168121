"""Orders engines to load their configured models.

An order is a command to an engine, sent under a lease with a fencing number
(see copperloom.controllers.leases), so that only one entry at a time commands
an engine. The engine's owner compares the configured models with those that
the engine reports and orders the missing ones. A later comparison corrects the
effect of an order that was lost or that a previous holder sent late.
"""

import asyncio
import dataclasses

from copperloom import configuration, exception, logs
from copperloom.controllers import leases, reservation_owners
from copperloom.targets import interface

__all__ = [
    "CompletedOrders",
    "Orders",
    "interval_s",
    "missing_models",
    "send_order",
    "step",
]

_STEP_S = 1.0
_ORDER_TIMEOUT_S = 60.0
# Load reports lag, so a completed order is not repeated for this duration
# unless the engine has restarted.
_REPORT_LAG_S = 10.0
_RETRY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedOrders:
    """Models that an engine has loaded by order.

    Attributes:
        boot: Boot of the engine that completed the orders.
        models: All models ordered during this boot.
        at: Monotonic time when the last of these orders was completed.
    """

    boot: str
    models: frozenset[str]
    at: float


class Orders:
    """State of the orders that this entry sends.

    Attributes:
        leases: Leases on targets.
        completed: Completed orders, by target.
        not_before: Monotonic time before which a target gets no order.
        busy: Targets with an order in progress.
    """

    def __init__(self):
        self.leases = leases.Leases()
        self.completed: dict[str, CompletedOrders] = {}
        self.not_before: dict[str, float] = {}
        self.busy: set[str] = set()


def interval_s(state) -> float:
    """Returns the seconds between steps."""
    return _STEP_S


def missing_models(
    tgt: configuration.Target,
    report: interface.LoadReport,
    completed: CompletedOrders | None,
    now: float,
) -> list[str]:
    """Returns the models that an engine lacks, in configuration order.

    Args:
        tgt: The engine's configuration.
        report: The engine's last load report.
        completed: The engine's completed orders.
        now: Monotonic time in seconds.
    """
    loaded = set(report.models)
    is_recent = completed is not None and now - completed.at < _REPORT_LAG_S
    if is_recent and completed.boot == report.boot:
        loaded |= completed.models
    return [model for model in tgt.serves if model not in loaded]


async def step(state, now: float) -> None:
    """Orders one missing model at each owned engine, in the background."""
    own = state.settings.entry.instance
    for name, report in state.reports.items():
        tgt = state.cfg.targets.get(name)
        if tgt is None or not _may_order(state, tgt, now):
            continue
        missing = missing_models(
            tgt, report, state.orders.completed.get(name), now
        )
        if missing and reservation_owners.owner_of(state, name, now) == own:
            state.orders.busy.add(name)
            task = asyncio.create_task(_load(state, tgt, report, missing[0]))
            state.background.add(task)
            task.add_done_callback(state.background.discard)


def _may_order(state, tgt: configuration.Target, now: float) -> bool:
    return (
        tgt.state is configuration.TargetState.ADMITTED
        and tgt.name not in state.orders.busy
        and tgt.name not in state.draining_targets
        and now >= state.orders.not_before.get(tgt.name, now)
    )


async def _load(
    state,
    tgt: configuration.Target,
    report: interface.LoadReport,
    model: str,
) -> None:
    loop = asyncio.get_running_loop()
    wait_s = 0.0
    try:
        if await send_order(state, tgt, "load_model", model):
            _record_completed(state, tgt.name, report.boot, model, loop.time())
        else:
            wait_s = _RETRY_S
    except exception.CopperloomError as error:
        wait_s = error.retry_after_s or _RETRY_S
        logs.event(
            "order_failed", target=tgt.name, value=model, code=error.code
        )
    finally:
        wait_s *= state.rng.uniform(1.0, 1.5)
        state.orders.not_before[tgt.name] = loop.time() + wait_s
        state.orders.busy.discard(tgt.name)


def _record_completed(
    state, target: str, boot: str, model: str, now: float
) -> None:
    completed = state.orders.completed.get(target)
    models = frozenset([model])
    if completed is not None and completed.boot == boot:
        models |= completed.models
    state.orders.completed[target] = CompletedOrders(boot, models, now)


async def send_order(
    state, tgt: configuration.Target, kind: str, value: str
) -> bool:
    """Sends one order under the target's lease.

    Args:
        state: The entry's state.
        tgt: The engine.
        kind: Kind of the order, as in `interface.Order`.
        value: Value of the order, as in `interface.Order`.

    Returns:
        Whether the order was completed; False if the lease is held by another
        entry, could not be acquired, or expired before sending.

    Raises:
        copperloom.exception.RateLimitedError: The rate limit of the weight
            store is exceeded.
        copperloom.exception.OrderRefusedError: The engine has seen a higher
            fencing number.
        copperloom.exception.CopperloomError: The engine was not reached or
            did not reply.
    """
    timeout_s = state.settings.platform.timeout_s
    lease = await leases.acquire(
        state.orders.leases,
        state.platform,
        state.owner,
        tgt.name,
        timeout_s=timeout_s,
    )
    if lease is None:
        return False
    if kind != "set_role":
        await state.platform.acquire_weights(1, timeout_s=timeout_s)
    # Nothing may be awaited between this check and the sending, or the lease
    # could expire in between.
    if not leases.is_valid(lease, asyncio.get_running_loop().time()):
        return False
    logs.event(
        "order", target=tgt.name, kind=kind, value=value, fencing=lease.fencing
    )
    try:
        await state.targets.order(
            tgt.address,
            interface.Order(kind, value, lease.fencing),
            timeout_s=_ORDER_TIMEOUT_S,
        )
    except exception.OrderRefusedError:
        leases.drop(state.orders.leases, tgt.name)
        raise
    return True
