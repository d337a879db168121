"""Runs a prompt that is larger than one engine over several of them.

The engines behind the leading one each hold a part of the prompt in memory;
the leading one takes the parts in and generates. Either all parts hold or the
work does not start; whatever ends the answer, every part is cancelled.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from copperloom import exception, messages
from copperloom.controllers import reclaim
from copperloom.daemons.state import EntryState
from copperloom.targets.interface import Piece, StreamOpen

__all__ = ["open_group", "part_name"]

# The lead can be read again after a cut while its parts hold.
_RESUME_TRIES = 5
_RESUME_WAIT_S = 0.2
# Touches within the time after which an unread part may be cancelled by the
# engine's owner; several, so that one that is lost does no harm.
_TOUCHES = 4
_TOUCH_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    stream: str
    address: str
    tokens: int


def part_name(stream: str, index: int) -> str:
    """Returns the name of a group's part; its index counts from 1."""
    return f"{stream}.{index}"


async def open_group(
    state: EntryState,
    placement: messages.Placement,
    opening: StreamOpen,
    *,
    timeout_s: float,
) -> AsyncIterator[list[Piece]]:
    """Opens a stream over all targets of a placement and reads its answer.

    Args:
        state: The entry's state.
        placement: Targets, the leading one first, and the tokens at each.
        opening: What to ask, with the length of the whole prompt.
        timeout_s: Time limit of the whole, in seconds.

    Yields:
        Lists of pieces, as `Targets.open` does.

    Raises:
        copperloom.exception.TargetUnreachableError: Not run: a part or the
            lead could not be reached.
        copperloom.exception.TargetRefusedError: Not run: a part or the lead
            did not get its memory.
        copperloom.exception.StreamBrokenError: May have run.
    """
    end = asyncio.get_running_loop().time() + timeout_s
    lead, *parts = _parts(state, placement, opening.stream)
    whole = False
    touching = None
    try:
        await _hold_all(state, parts, opening, end)
        touching = asyncio.create_task(_touch(state, parts, opening))
        answer = _read_lead(state, lead, parts, opening, end)
        async with contextlib.aclosing(answer):
            async for pieces in answer:
                yield pieces
        whole = True
    finally:
        if touching is not None:
            touching.cancel()
        for part in parts:
            reclaim.cancel(state, part.address, part.stream)
        if not whole:
            reclaim.cancel(state, lead.address, lead.stream)


def _parts(
    state: EntryState, placement: messages.Placement, stream: str
) -> list[_Part]:
    out = []
    pairs = zip(placement.targets, placement.tokens, strict=True)
    for index, (name, tokens) in enumerate(pairs):
        tgt = state.cfg.targets.get(name)
        if tgt is None:
            raise exception.TargetUnreachableError(f"{name} is not configured")
        part = part_name(stream, index) if index else stream
        out.append(_Part(part, tgt.address, tokens))
    return out


async def _hold_all(
    state: EntryState, parts: list[_Part], opening: StreamOpen, end: float
) -> None:
    """Fills all parts, or raises; the caller cancels them then.

    The parts are asked in the order of their addresses, and filled side by
    side, since prefill takes most of the time. Two groups that want the same
    engines cannot wait for each other: an engine refuses a part that has no
    room instead of letting it wait.
    """
    in_order = sorted(parts, key=lambda part: part.address)
    tasks = [
        asyncio.create_task(_hold(state, part, opening, end))
        for part in in_order
    ]
    try:
        await asyncio.gather(*tasks)
    except exception.StreamBrokenError as error:
        # Holding a part generates nothing and the lead was not sent.
        raise exception.TargetRefusedError(f"a part broke: {error}") from error
    except exception.TargetFailedError as error:
        raise exception.TargetRefusedError(f"a part failed: {error}") from error
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _hold(
    state: EntryState, part: _Part, opening: StreamOpen, end: float
) -> None:
    req = dataclasses.replace(
        opening,
        stream=part.stream,
        prompt_tokens=part.tokens,
        prefix="",
        key="",
        hold=True,
    )
    left_s = end - asyncio.get_running_loop().time()
    source = state.targets.open(part.address, req, timeout_s=left_s)
    async with contextlib.aclosing(source):
        async for _ in source:
            pass


async def _read_lead(
    state: EntryState,
    lead: _Part,
    parts: list[_Part],
    opening: StreamOpen,
    end: float,
) -> AsyncIterator[list[Piece]]:
    """Reads the lead's answer, resuming it here while the parts hold."""
    loop = asyncio.get_running_loop()
    req = dataclasses.replace(
        opening,
        prompt_tokens=max(lead.tokens - opening.max_tokens, 1),
        imports=tuple(f"{part.address}/{part.stream}" for part in parts),
    )
    source = state.targets.open(lead.address, req, timeout_s=end - loop.time())
    offset = 0
    tries = 0
    while True:
        try:
            async with contextlib.aclosing(source):
                async for pieces in source:
                    offset += sum(piece.tokens for piece in pieces)
                    tries = 0
                    yield pieces
            return
        except (
            exception.StreamBrokenError,
            exception.TargetUnreachableError,
        ) as error:
            opened = tries or isinstance(error, exception.StreamBrokenError)
            if not opened and not offset:
                raise
            tries += 1
            if tries > _RESUME_TRIES or loop.time() >= end:
                raise exception.StreamBrokenError(str(error)) from error
        except exception.StreamUnknownError as error:
            # It ended at the engine, for example because a part was lost.
            raise exception.StreamBrokenError(str(error)) from error
        await asyncio.sleep(_RESUME_WAIT_S)
        source = state.targets.resume(
            lead.address,
            lead.stream,
            offset,
            opening.owner,
            opening.organisation,
            timeout_s=end - loop.time(),
        )


async def _touch(
    state: EntryState, parts: list[_Part], opening: StreamOpen
) -> None:
    """Reads the held parts again and again, so that none looks left behind.

    Without this an engine's owner that hears nothing from this entry would
    take a part, which nobody reads while the lead generates, for abandoned.
    """
    every_s = state.settings.membership.dead_s / _TOUCHES
    while True:
        await asyncio.sleep(every_s)
        for part in parts:
            source = state.targets.resume(
                part.address,
                part.stream,
                0,
                opening.owner,
                opening.organisation,
                timeout_s=min(every_s, _TOUCH_TIMEOUT_S),
            )
            with contextlib.suppress(exception.CopperloomError):
                async with contextlib.aclosing(source):
                    async for _ in source:
                        pass
