"""Gives the rest of a stream by its name and offset, at any entry."""

from copperloom import exception
from copperloom.filters import answers, attempt, exchange, read

__all__ = ["resume"]


async def resume(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Gives the rest of a stream, from any entry, by its name and offset.

    Only a stream that the engine let us read is cancelled when its reading
    fails: whoever merely knows a stream's name must not be able to end it.
    """
    read.set_deadline(ex, ex.state.settings.limits.max_time_limit_s)
    target = ex.cfg.targets.get(ex.http.match_info["target"])
    if target is None:
        raise exception.StreamUnknownError("its target is not configured")
    own = attempt.Attempt(
        ex.http.match_info["stream"], target.address, target.name
    )
    own.delivered = _offset(ex)
    ex.stream_path = f"{own.target}/{own.stream}"
    ex.run = exception.Run.MAY_HAVE_RUN
    answer = answers.make(ex, ex.stream_path)
    whole = False
    tries = 0
    try:
        while True:
            try:
                await attempt.copy(ex, own, answer, attempt.rest(ex, own))
                break
            except (
                exception.TargetUnreachableError,
                exception.StreamBrokenError,
            ):
                tries = await attempt.pause(own, tries)
        whole = True
    finally:
        if own.taken and not whole:
            attempt.abandon(ex, own)
    await answer.end()
    await nxt(ex)


def _offset(ex: exchange.Exchange) -> int:
    text = ex.http.query.get("offset", "0")
    if not text.isdecimal():
        raise exception.HeaderOutOfRangeError("offset must be a number")
    return int(text)
