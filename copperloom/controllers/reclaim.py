"""Frees engine memory: cancels own streams and those of dead entries."""

import asyncio
import functools

from copperloom import configuration, exception, logs
from copperloom.controllers import cancels, orphans
from copperloom.daemons.state import EntryState

__all__ = ["cancel", "interval_s", "step"]

_LIST_TIMEOUT_S = 2.0
# An older list is ignored: if this process was paused, another entry may have
# taken over a stream in the meantime.
_MAX_LIST_AGE_S = 1.0


def interval_s(state: EntryState) -> float:
    """Returns the seconds between steps."""
    return state.settings.targets.reclaim_poll_s


def cancel(
    state: EntryState, address: str, stream: str, *, delay_s: float = 0.0
) -> None:
    """Cancels a stream in the background, with retries until confirmed.

    Args:
        state: The entry's state.
        address: Address of the engine.
        stream: Name of the stream, which may never have been opened.
        delay_s: Seconds to wait first. After a delay, the stream is cancelled
            only if this entry still owns it.
    """
    if delay_s:
        _spawn(state, _cancel_if_owned(state, address, stream, delay_s))
        return
    now = asyncio.get_running_loop().time()
    cancels.add(state.cancels, address, stream, now)
    _run_due(state, now)


async def _cancel_if_owned(
    state: EntryState, address: str, stream: str, delay_s: float
) -> None:
    """Cancels a stream after a delay, unless another entry has taken it over.

    The caller may have resumed its answer at another entry, where a cancel
    would cut it off. The engine knows the current owner.
    """
    await asyncio.sleep(delay_s)
    streams = []
    while _is_configured(state, address):
        try:
            streams = await state.targets.streams(
                address, timeout_s=_LIST_TIMEOUT_S
            )
            break
        except exception.CopperloomError:
            await asyncio.sleep(_LIST_TIMEOUT_S)
    owner = next((s.owner for s in streams if s.stream == stream), "")
    if owner == state.owner:
        cancel(state, address, stream)


async def step(state: EntryState, now: float) -> None:
    """Retries unconfirmed cancels and cancels orphans at owned engines."""
    _run_due(state, now)
    _record_boots(state, now)
    targets = state.cfg.targets
    # There is a ledger of reservations for each engine that this entry owns.
    engines = [targets[n] for n in state.book.ledgers if n in targets]
    await asyncio.gather(*(_cancel_orphans(state, tgt) for tgt in engines))


def _run_due(state: EntryState, now: float) -> None:
    cancels.run_due(
        state.cancels,
        state.targets,
        now,
        is_configured=functools.partial(_is_configured, state),
        spawn=functools.partial(_spawn, state),
    )


def _is_configured(state: EntryState, address: str) -> bool:
    return any(t.address == address for t in state.cfg.targets.values())


def _spawn(state: EntryState, coroutine) -> asyncio.Task:
    task = asyncio.create_task(coroutine)
    state.background.add(task)
    task.add_done_callback(state.background.discard)
    return task


def _record_boots(state: EntryState, now: float) -> None:
    """Records the boot and last message of each peer and of this entry.

    With its own boot recorded, streams of an earlier boot of this instance are
    recognised as orphans too.
    """
    instance = state.settings.entry.instance
    orphans.record(state.orphans, instance, state.boot, now)
    for name, member in state.members.items():
        if member.boot:
            orphans.record(
                state.orphans, name, member.boot, member.last_reply_at
            )


async def _cancel_orphans(state: EntryState, tgt: configuration.Target) -> None:
    loop = asyncio.get_running_loop()
    requested_at = loop.time()
    try:
        streams = await state.targets.streams(
            tgt.address, timeout_s=_LIST_TIMEOUT_S
        )
    except exception.CopperloomError:
        # The next step lists the streams again.
        return
    now = loop.time()
    if now - requested_at > _MAX_LIST_AGE_S:
        return
    dead_s = state.settings.membership.dead_s
    for info in streams:
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
