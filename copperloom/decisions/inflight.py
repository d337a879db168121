"""Work in progress at a target, and what it comes to in sum."""

import dataclasses
from collections.abc import Iterable

__all__ = ["Prefill", "TargetLoad", "Work", "Decode", "total"]

# A reading that is this much overdue counts no longer: the caller's own
# patience ends it, and its target is most likely not working.
_OVERDUE_FACTOR = 3.0
_OVERDUE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One request's share of the work of one target.

    Attributes:
        target: The target's name.
        prefill_s: Predicted time of the reading there, 0 for plain services.
        generates: Whether the target also writes the answer.
        tokens: Memory held there, in tokens.
        pause_aim_s: Longest pause that the caller accepts.
        started_at: Monotonic time at which it was sent.
        decoding: Whether its first token has come, so that reading is over.
        worth: What its caller has at stake, in units of a short prompt.
        due_s: Time from `begun` until its first token should come.
        is_split: Whether several targets read the prompt; they read such
            parts before whole prompts.
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
    """An answer that is being written.

    Attributes:
        pause_aim_s: Longest pause that its caller accepts.
        worth: What its caller has at stake.
    """

    pause_aim_s: float
    worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class Prefill:
    """A prompt or part that is being read.

    Attributes:
        age_s: Time since it was sent.
        prefill_s: Predicted time of the reading alone.
        due_s: Time from now until its first token should come.
        worth: What its caller has at stake.
        is_split: Whether it is a part of a prompt.
        pause_aim_s: Longest pause that its caller accepts once its answer is
            written here; None if it is written elsewhere.
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
        requests: Requests that write or will write there, or are called.
        parts: Requests that it only reads a part for.
        prefills: Prompts and parts that are being read, the oldest first.
        decodes: Answers that are being written.
        context: Tokens of context of the answers being written.
        tokens: Memory held.
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
        works: What is in progress there.
        now: Monotonic time.
    """
    works = list(works)
    # Each step of an answer needs the engines that hold a share of its memory,
    # so they count as its writers too.
    writing = [w for w in works if w.decoding and (w.generates or w.tokens)]
    reading = [
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
            for w in sorted(reading, key=lambda w: w.started_at)
        ),
        decodes=tuple(Decode(w.pause_aim_s, w.worth) for w in writing),
        context=sum(w.tokens for w in writing),
        tokens=sum(w.tokens for w in works),
    )
