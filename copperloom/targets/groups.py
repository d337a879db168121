"""Runs a prompt that exceeds one engine's memory on a group of engines.

Each helper engine prefills a part of the prompt and holds it in memory. The
lead engine imports these parts and decodes. The work starts only if all parts
are held, and every part is cancelled at the end of the answer or on failure.
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

# The lead's stream can be resumed as long as its parts are held.
_MAX_RESUME_TRIES = 5
_RESUME_WAIT_S = 0.2
# Keep-alive requests within the time after which an engine's owner may cancel
# an unread part; more than one, so that a lost request has no effect.
_KEEPALIVES_PER_TIMEOUT = 4
_KEEPALIVE_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    stream: str
    address: str
    tokens: int


def part_name(stream: str, index: int) -> str:
    """Returns the stream name of a part; parts are numbered from 1."""
    return f"{stream}.{index}"


async def open_group(
    state: EntryState,
    placement: messages.Placement,
    stream_open: StreamOpen,
    *,
    timeout_s: float,
) -> AsyncIterator[list[Piece]]:
    """Opens a stream on all targets of a placement and relays the answer.

    Args:
        state: State of the entry.
        placement: Targets, the lead first, and the tokens at each.
        stream_open: Request for the entire prompt.
        timeout_s: Time limit of the entire request, in seconds.

    Yields:
        Lists of pieces, as `Targets.open` does.

    Raises:
        copperloom.exception.TargetUnreachableError: Not run; an engine could
            not be reached.
        copperloom.exception.TargetRefusedError: Not run; an engine refused the
            work, or a helper engine failed to hold its part.
        copperloom.exception.TargetFailedError: The lead engine failed.
        copperloom.exception.StreamBrokenError: The answer was interrupted; the
            work may have run.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    lead, *parts = _build_parts(state, placement, stream_open.stream)
    completed = False
    keepalive = None
    try:
        await _prefill_parts(state, parts, stream_open, deadline)
        keepalive = asyncio.create_task(
            _keep_parts_alive(state, parts, stream_open)
        )
        answer = _relay_lead(state, lead, parts, stream_open, deadline)
        async with contextlib.aclosing(answer):
            async for pieces in answer:
                yield pieces
        completed = True
    finally:
        if keepalive is not None:
            keepalive.cancel()
        for part in parts:
            reclaim.cancel(state, part.address, part.stream)
        if not completed:
            reclaim.cancel(state, lead.address, lead.stream)


def _build_parts(
    state: EntryState, placement: messages.Placement, stream: str
) -> list[_Part]:
    parts = []
    pairs = zip(placement.targets, placement.tokens, strict=True)
    for index, (name, tokens) in enumerate(pairs):
        tgt = state.cfg.targets.get(name)
        if tgt is None:
            raise exception.TargetUnreachableError(
                f"{name} is no longer configured as a target"
            )
        part = part_name(stream, index) if index else stream
        parts.append(_Part(part, tgt.address, tokens))
    return parts


async def _prefill_parts(
    state: EntryState,
    parts: list[_Part],
    stream_open: StreamOpen,
    deadline: float,
) -> None:
    """Prefills all parts concurrently, or raises.

    The requests start in the order of the engines' addresses. After an error
    the caller must cancel the parts. Two groups that need the same engines
    cannot deadlock: an engine without free memory refuses a part instead of
    queueing it.
    """
    in_order = sorted(parts, key=lambda part: part.address)
    tasks = [
        asyncio.create_task(_prefill_part(state, part, stream_open, deadline))
        for part in in_order
    ]
    try:
        await asyncio.gather(*tasks)
    except exception.StreamBrokenError as error:
        # Nothing has run: a helper does not decode, and the lead has not been
        # opened yet.
        raise exception.TargetRefusedError(
            f"a helper engine did not confirm its part of the prompt: {error}"
        ) from error
    except exception.TargetFailedError as error:
        raise exception.TargetRefusedError(
            f"a helper engine failed to prefill its part of the prompt: {error}"
        ) from error
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _prefill_part(
    state: EntryState, part: _Part, stream_open: StreamOpen, deadline: float
) -> None:
    req = dataclasses.replace(
        stream_open,
        stream=part.stream,
        prompt_tokens=part.tokens,
        prefix="",
        key="",
        hold=True,
    )
    remaining_s = deadline - asyncio.get_running_loop().time()
    source = state.targets.open(part.address, req, timeout_s=remaining_s)
    async with contextlib.aclosing(source):
        async for _ in source:
            pass


async def _relay_lead(
    state: EntryState,
    lead: _Part,
    parts: list[_Part],
    stream_open: StreamOpen,
    deadline: float,
) -> AsyncIterator[list[Piece]]:
    """Relays the lead's answer, and resumes it while the parts are held."""
    loop = asyncio.get_running_loop()
    req = dataclasses.replace(
        stream_open,
        prompt_tokens=max(lead.tokens - stream_open.max_tokens, 1),
        imports=tuple(f"{part.address}/{part.stream}" for part in parts),
    )
    source = state.targets.open(
        lead.address, req, timeout_s=deadline - loop.time()
    )
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
            if tries > _MAX_RESUME_TRIES or loop.time() >= deadline:
                raise exception.StreamBrokenError(str(error)) from error
        except exception.StreamUnknownError as error:
            # The engine ended the stream, for example because a part is lost.
            raise exception.StreamBrokenError(str(error)) from error
        await asyncio.sleep(_RESUME_WAIT_S)
        source = state.targets.resume(
            lead.address,
            lead.stream,
            offset,
            stream_open.owner,
            stream_open.organisation,
            timeout_s=deadline - loop.time(),
        )


async def _keep_parts_alive(
    state: EntryState, parts: list[_Part], stream_open: StreamOpen
) -> None:
    """Reads the held parts at regular intervals, so that they stay allocated.

    No client reads a part while the lead decodes. The owner of its engine would
    otherwise cancel the part as orphaned if it lost contact with this entry.
    """
    interval_s = state.settings.membership.dead_s / _KEEPALIVES_PER_TIMEOUT
    while True:
        await asyncio.sleep(interval_s)
        for part in parts:
            source = state.targets.resume(
                part.address,
                part.stream,
                0,
                stream_open.owner,
                stream_open.organisation,
                timeout_s=min(interval_s, _KEEPALIVE_TIMEOUT_S),
            )
            with contextlib.suppress(exception.CopperloomError):
                async with contextlib.aclosing(source):
                    async for _ in source:
                        pass
