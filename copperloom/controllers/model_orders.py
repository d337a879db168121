"""Orders engines to load the models that they are to serve.

One entry at a time gives orders to an engine: the engine's owner, under a
lease (copperloom.controllers.leases). It compares what the configuration
wants with what the engine reports and orders the difference, so that an order
that was lost, or that an old holder gave late, is made good at a later look.
"""

import asyncio
import dataclasses

from copperloom import configuration, exception, logs
from copperloom.controllers import leases, reservation_owners
from copperloom.targets import interface

__all__ = [
    "CompletedOrders",
    "Orders",
    "send_order",
    "interval_s",
    "missing_models",
    "step",
]

_STEP_S = 1.0
_ORDER_TIMEOUT_S = 60.0
# An engine's report lags, so an order that was obeyed is not repeated before
# it can have shown; an engine that restarted is ordered anew at once.
_SETTLE_S = 10.0
_RETRY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedOrders:
    """Models that an engine obeyed to load.

    Attributes:
        boot: The engine's boot then.
        models: All models ordered in this boot.
        at: Monotonic time of the last of these orders.
    """

    boot: str
    models: frozenset[str]
    at: float


class Orders:
    """What this entry knows of its orders.

    Attributes:
        leases: Leases held and watched.
        given: Orders obeyed, by target.
        not_before: Time before which a target gets no order.
        busy: Targets that are being ordered now.
    """

    def __init__(self):
        self.leases = leases.Leases()
        self.given: dict[str, CompletedOrders] = {}
        self.not_before: dict[str, float] = {}
        self.busy: set[str] = set()


def interval_s(state) -> float:
    """Returns the seconds between steps."""
    return _STEP_S


def missing_models(
    tgt: configuration.Target,
    report: interface.LoadReport,
    given: CompletedOrders | None,
    now: float,
) -> list[str]:
    """Returns the models that an engine should load, in a fixed order.

    Args:
        tgt: What the configuration wants.
        report: What the engine last said.
        given: What it obeyed last.
        now: Monotonic seconds.
    """
    seen = set(report.models)
    fresh = given is not None and now - given.at < _SETTLE_S
    if fresh and given.boot == report.boot:
        seen |= given.models
    return [model for model in tgt.serves if model not in seen]


async def step(state, now: float) -> None:
    """Starts an order at each owned engine that lacks a model."""
    own = state.settings.entry.instance
    for name, report in state.reports.items():
        tgt = state.cfg.targets.get(name)
        if tgt is None or not _may_order(state, tgt, now):
            continue
        wanted = missing_models(tgt, report, state.orders.given.get(name), now)
        if wanted and reservation_owners.owner_of(state, name, now) == own:
            state.orders.busy.add(name)
            task = asyncio.create_task(_load(state, tgt, report, wanted[0]))
            state.background.add(task)
            task.add_done_callback(state.background.discard)


def _may_order(state, tgt: configuration.Target, now: float) -> bool:
    return (
        tgt.state is configuration.TargetState.ADMITTED
        and tgt.name not in state.orders.busy
        and tgt.name not in state.leaving_targets
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
            _note(state, tgt.name, report.boot, model, loop.time())
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


def _note(state, target: str, boot: str, model: str, now: float) -> None:
    given = state.orders.given.get(target)
    models = frozenset([model])
    if given is not None and given.boot == boot:
        models |= given.models
    state.orders.given[target] = CompletedOrders(boot, models, now)


async def send_order(
    state, tgt: configuration.Target, kind: str, value: str
) -> bool:
    """Gives one order under the target's lease.

    Args:
        state: The entry's state.
        tgt: The engine.
        kind: As in `interface.Order`.
        value: As in `interface.Order`.

    Returns:
        False if another entry holds the lease or it could not be had.

    Raises:
        copperloom.exception.RateLimitedError: The weight store's rate.
        copperloom.exception.OrderRefusedError: The engine has seen a higher
            fencing number.
        copperloom.exception.CopperloomError: The engine was not reached, or
            gave no answer.
    """
    timeout_s = state.settings.platform.timeout_s
    held = await leases.acquire(
        state.orders.leases,
        state.platform,
        state.owner,
        tgt.name,
        timeout_s=timeout_s,
    )
    if held is None:
        return False
    if kind != "set_role":
        await state.platform.acquire_weights(1, timeout_s=timeout_s)
    # The last look at the clock before the order goes out: nothing waits
    # between here and the sending.
    if not leases.is_good(held, asyncio.get_running_loop().time()):
        return False
    logs.event(
        "order", target=tgt.name, kind=kind, value=value, fencing=held.fencing
    )
    try:
        await state.targets.order(
            tgt.address,
            interface.Order(kind, value, held.fencing),
            timeout_s=_ORDER_TIMEOUT_S,
        )
    except exception.OrderRefusedError:
        leases.drop(state.orders.leases, tgt.name)
        raise
    return True
