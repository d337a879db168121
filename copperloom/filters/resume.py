"""Resumes a stream by its name and offset, at any entry."""

from copperloom import exception
from copperloom.filters import answers, attempt, exchange, read

__all__ = ["resume"]


async def resume(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Relays a stream from an offset on.

    After a failure the stream is cancelled only if the engine has sent pieces
    of it. Otherwise, knowing the name of a stream would be enough to end it.
    """
    read.set_deadline(ex, ex.state.settings.limits.max_time_limit_s)
    target = ex.cfg.targets.get(ex.http.match_info["target"])
    if target is None:
        raise exception.StreamUnknownError(
            "the target that the path names is not configured, so the stream"
            " cannot be resumed"
        )
    current = attempt.Attempt(
        ex.http.match_info["stream"], target.address, target.name
    )
    current.delivered = _offset(ex)
    ex.stream_path = f"{current.target}/{current.stream}"
    ex.run = exception.Run.MAY_HAVE_RUN
    answer = answers.make_answer(ex, ex.stream_path)
    completed = False
    tries = 0
    try:
        while True:
            try:
                await attempt.relay_stream(
                    ex, current, answer, attempt.resume_stream(ex, current)
                )
                break
            except (
                exception.TargetUnreachableError,
                exception.StreamBrokenError,
            ):
                tries = await attempt.back_off(current, tries)
        completed = True
    finally:
        if current.owned and not completed:
            attempt.cancel_stream(ex, current)
    await answer.end()
    await nxt(ex)


def _offset(ex: exchange.Exchange) -> int:
    text = ex.http.query.get("offset", "0")
    if not text.isdecimal():
        raise exception.HeaderOutOfRangeError(
            "the query parameter offset must be a whole number of tokens"
        )
    return int(text)
