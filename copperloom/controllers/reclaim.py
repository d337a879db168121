"""Gives engines their memory back: own cancels and streams left behind."""

import asyncio
import functools

from copperloom import configuration, exception, logs
from copperloom.controllers import cancels, orphans
from copperloom.daemons.state import EntryState

__all__ = ["cancel", "interval_s", "step"]

_LIST_TIMEOUT_S = 2.0
# A list older than this when it is acted on is dropped: this process may have
# been paused, and somebody may have taken a stream over since.
_LIST_FRESH_S = 1.0


def interval_s(state: EntryState) -> float:
    """Returns the seconds between steps."""
    return state.settings.targets.reclaim_poll_s


def cancel(
    state: EntryState, address: str, stream: str, *, delay_s: float = 0.0
) -> None:
    """Cancels a stream, however often it must be tried.

    Returns at once; the engine is told in the background.

    Args:
        state: The entry's state.
        address: The engine's address.
        stream: The stream's name; also one that may never have been opened.
        delay_s: How long to leave it alone first.
    """
    if delay_s:
        _spawn(state, _cancel_if_own(state, address, stream, delay_s))
        return
    now = asyncio.get_running_loop().time()
    cancels.add(state.cancels, address, stream, now)
    _run_due(state, now)


async def _cancel_if_own(
    state: EntryState, address: str, stream: str, delay_s: float
) -> None:
    """Cancels a stream later, unless another entry has taken it over.

    Its caller may have come back at another entry and read on there; this
    one's cancel would cut that answer off. The engine knows who owns it.
    """
    await asyncio.sleep(delay_s)
    infos = []
    while _is_configured(state, address):
        try:
            infos = await state.targets.streams(
                address, timeout_s=_LIST_TIMEOUT_S
            )
            break
        except exception.CopperloomError:
            await asyncio.sleep(_LIST_TIMEOUT_S)
    owner = next((i.owner for i in infos if i.stream == stream), "")
    if owner == state.owner:
        cancel(state, address, stream)


async def step(state: EntryState, now: float) -> None:
    """Tries unconfirmed cancels again and looks through owned engines."""
    _run_due(state, now)
    _hear(state, now)
    targets = state.cfg.targets
    # The books that the owners controller keeps name the engines owned.
    engines = [targets[n] for n in state.book.ledgers if n in targets]
    await asyncio.gather(*(_look_through(state, tgt) for tgt in engines))


def _run_due(state: EntryState, now: float) -> None:
    cancels.run_due(
        state.cancels,
        state.targets,
        now,
        configured=functools.partial(_is_configured, state),
        spawn=functools.partial(_spawn, state),
    )


def _is_configured(state: EntryState, address: str) -> bool:
    return any(t.address == address for t in state.cfg.targets.values())


def _spawn(state: EntryState, coroutine) -> asyncio.Task:
    task = asyncio.create_task(coroutine)
    state.background.add(task)
    task.add_done_callback(state.background.discard)
    return task


def _hear(state: EntryState, now: float) -> None:
    """Takes over when the members controller last heard each peer.

    This boot too, so that streams of an earlier boot of this instance count
    as left behind like those of others.
    """
    instance = state.settings.entry.instance
    orphans.note(state.orphans, instance, state.boot, now)
    for name, member in state.members.items():
        if member.boot:
            orphans.note(state.orphans, name, member.boot, member.heard_at)


async def _look_through(state: EntryState, tgt: configuration.Target) -> None:
    loop = asyncio.get_running_loop()
    asked = loop.time()
    try:
        infos = await state.targets.streams(
            tgt.address, timeout_s=_LIST_TIMEOUT_S
        )
    except exception.CopperloomError:
        # Nothing is known of its streams; the next step asks again.
        return
    now = loop.time()
    if now - asked > _LIST_FRESH_S:
        return
    dead_s = state.settings.membership.dead_s
    for info in infos:
        if info.owner == state.owner:
            continue
        if orphans.is_orphan(state.orphans, info, now, dead_s=dead_s):
            logs.event(
                "stream_reclaimed",
                stream=info.stream,
                owner=info.owner,
                target=tgt.name,
                kv_tokens=info.kv_tokens,
            )
            cancel(state, tgt.address, info.stream)
