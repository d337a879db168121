"""Work in progress at one target, and its sum."""

import dataclasses
from collections.abc import Iterable

__all__ = ["Prefill", "TargetLoad", "Work", "Decode", "total"]

# A prefill that is overdue by this much is ignored: the caller's timeout ends
# it, and its target has most likely failed.
_OVERDUE_FACTOR = 3.0
_OVERDUE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One request's share of the work of one target.

    Attributes:
        target: Name of the target.
        prefill_s: Predicted prefill time there, in seconds; 0 for plain
            services.
        generates: Whether the target decodes the answer.
        tokens: Memory held there, in tokens.
        pause_aim_s: Inter-token objective, in seconds.
        started_at: Monotonic time at which it was sent.
        decoding: Whether the first token has come, so that the prefill is
            finished.
        worth: Worth of the request, in units of a short prompt.
        due_s: Time from `started_at` until the first token is due, in
            seconds.
        is_split: Whether several targets prefill the prompt; engines process
            such parts before whole prompts.
    """

    target: str
    prefill_s: float
    generates: bool
    tokens: int
    pause_aim_s: float
    started_at: float
    decoding: bool = False
    worth: float = 1.0
    due_s: float = 1.0
    is_split: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Decode:
    """An answer that is being generated.

    Attributes:
        pause_aim_s: Inter-token objective, in seconds.
        worth: Worth of the request.
    """

    pause_aim_s: float
    worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class Prefill:
    """The prefill of a prompt, or of a part of one.

    Attributes:
        age_s: Time since it was sent, in seconds.
        prefill_s: Predicted time of the prefill alone, in seconds.
        due_s: Time from now until the first token is due, in seconds.
        worth: Worth of the request.
        is_split: Whether it is a part of a prompt.
        pause_aim_s: Inter-token objective if the answer is decoded here, in
            seconds; None if it is decoded elsewhere.
    """

    age_s: float
    prefill_s: float
    due_s: float
    worth: float
    is_split: bool
    pause_aim_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """The sum of the work at one target.

    Attributes:
        requests: Requests of plain services, and those whose answer the
            target decodes or will decode.
        parts: Requests for which it only prefills a part.
        prefills: Prompts and parts in prefill, the oldest first.
        decodes: Answers that are being generated.
        context: Context of these answers, in tokens.
        tokens: Memory held, in tokens.
    """

    requests: int = 0
    parts: int = 0
    prefills: tuple[Prefill, ...] = ()
    decodes: tuple[Decode, ...] = ()
    context: int = 0
    tokens: int = 0


def total(works: Iterable[Work], now: float) -> TargetLoad:
    """Sums the work at one target.

    Args:
        works: Work in progress there.
        now: Monotonic time.
    """
    works = list(works)
    # Each decoding step needs the engines that hold a share of the request's
    # memory, so the answer counts as decoded there too.
    decoding = [w for w in works if w.decoding and (w.generates or w.tokens)]
    prefilling = [
        w
        for w in works
        if not w.decoding
        and w.prefill_s > 0
        and now - w.started_at < _OVERDUE_FACTOR * w.prefill_s + _OVERDUE_S
    ]
    return TargetLoad(
        requests=sum(w.generates for w in works),
        parts=sum(not w.generates and not w.decoding for w in works),
        prefills=tuple(
            Prefill(
                age_s=now - w.started_at,
                prefill_s=w.prefill_s,
                due_s=w.started_at + w.due_s - now,
                worth=w.worth,
                is_split=w.is_split,
                pause_aim_s=w.pause_aim_s if w.generates else None,
            )
            for w in sorted(prefilling, key=lambda w: w.started_at)
        ),
        decodes=tuple(Decode(w.pause_aim_s, w.worth) for w in decoding),
        context=sum(w.tokens for w in decoding),
        tokens=sum(w.tokens for w in works),
    )
