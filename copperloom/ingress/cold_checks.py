"""Checks cold targets that have not been reached since they failed.

Without a check, a target that no request needs would stay cold for good. The
owner of the target checks it within the rate of cold targets, and the answer
says how much longer it is cold.
"""

import asyncio

from copperloom import exception, routing
from copperloom.decisions import cold_start, registry
from copperloom.ingress import answers, cold_grants, cold_targets, health_checks
from copperloom.ingress.state import IngressState
from copperloom.platform import headers
from copperloom.utils import waits

__all__ = ["run"]

_INTERVAL_S = 0.2
_TIMEOUT_S = 0.5


async def run(state: IngressState) -> None:
    """Checks the targets that this instance owns, until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(_INTERVAL_S)
        due = _due(state, loop.time())
        if due:
            await asyncio.gather(*(_check(state, target) for target in due))


def _due(state: IngressState, now: float) -> list[routing.TargetEntry]:
    unreached = cold_start.unreached(state.limits.cold)
    if not unreached or state.reachability.is_lost:
        return []
    entries = {
        registry.incarnation(e): e
        for e in state.targets.entries.values()
        if not registry.is_draining(state.targets, e)
        and not registry.is_evacuated(state.targets, e)
    }
    found = [entries[name] for name in unreached if name in entries]
    return [e for e in found if _is_granted(state, e, now)]


def _is_granted(
    state: IngressState, target: routing.TargetEntry, now: float
) -> bool:
    incarnation = registry.incarnation(target)
    grant = cold_grants.schedule(state, incarnation, now, 0.0)
    return grant.delay_s is not None


async def _check(state: IngressState, target: routing.TargetEntry) -> None:
    task = asyncio.ensure_future(_ask(state, target))
    await waits.wait(task, _TIMEOUT_S)


async def _ask(state: IngressState, target: routing.TargetEntry) -> None:
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    try:
        async with health_checks.send(state, target) as reply:
            if reply.status == answers.MISDIRECTED:
                return
            facts = headers.read_reply(reply.headers)
            cold_targets.record_contact(
                state, target, facts.cold_s, begun_at, loop.time()
            )
    except (
        exception.TargetUnreachableError,
        exception.StreamBrokenError,
    ):
        # The target is still down; the next check follows.
        return
