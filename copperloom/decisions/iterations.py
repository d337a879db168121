"""Predicts the iterations of a model engine.

An engine works in iterations. An iteration that decodes runs `stride` steps
and sends each answer's tokens at its end; prompts are prefilled within the
same iterations. So the gap between tokens is one iteration, and each prefill
beside a decode lengthens it. The predictions use the figures that the
operators configure for the engines of a service.
"""

import dataclasses

from copperloom import routing
from copperloom.decisions import inflight

__all__ = ["Timeline", "iteration_s", "simulate", "prefill_s"]

# A prefill may take longer than predicted; at least this share of it counts as
# remaining until the first token shows that it has finished.
_MIN_REMAINING_SHARE = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The predicted next iterations of an engine.

    Attributes:
        decode_only_s: Length of an iteration without any prefill, in seconds.
        iteration_left_s: Time until the current iteration ends, in seconds.
        queued_prefill_s: Sum of the prefill times of prompts and parts that
            join the next iteration, in seconds.
        finish_s: Time from now until each prefill ends, in seconds, in the
            order of the engine's prefills.
        queued: Whether each of them waits for the next iteration.
    """

    decode_only_s: float
    iteration_left_s: float
    queued_prefill_s: float
    finish_s: tuple[float, ...]
    queued: tuple[bool, ...]

    @property
    def prefill_left_s(self) -> float:
        """Time until all known prefills have ended, in seconds."""
        return max(self.finish_s, default=0.0)


def prefill_s(engine: routing.EngineSpec, tokens: int) -> float:
    """Predicts the time to prefill a prompt at one engine, in seconds.

    The cost is linear in the tokens plus attention's quadratic share: each
    pair of a token and an earlier one adds `pair_s`.
    """
    pairs = 0.5 * tokens * tokens
    return tokens / engine.prefill_tokens_per_s + pairs * engine.pair_s


def iteration_s(
    engine: routing.EngineSpec, decodes: int, context: int
) -> float:
    """Predicts the length of an iteration without any prefill, in seconds.

    Args:
        engine: Figures of the engine.
        decodes: Number of answers being generated.
        context: Sum of their context, in tokens.
    """
    step = engine.step_s
    step += decodes * engine.per_sequence_s
    step += context * engine.context_s
    return engine.stride * step


def simulate(engine: routing.EngineSpec, load: inflight.TargetLoad) -> Timeline:
    """Predicts the next iterations of an engine from its work in progress.

    An engine that decodes includes in an iteration all prefills that have
    arrived by its start; later ones wait for the next. So the gap between
    tokens is one iteration, and prefills in different iterations don't add up.
    An engine that decodes nothing switches to the newest part at once, and
    prefills whole prompts in order of arrival after the parts.
    """
    decode_only_s = iteration_s(engine, len(load.decodes), load.context)
    if not load.decodes:
        return _simulate_prefill_only(decode_only_s, load.prefills)
    return _simulate_mixed(decode_only_s, load.prefills)


def _simulate_mixed(decode_only_s: float, prefills) -> Timeline:
    # Times are relative to now; `end` is when the latest iteration ends.
    end = float("-inf")
    finish = []
    queued = []
    waiting: list[int] = []
    for index, prefill in enumerate(prefills):
        sent = -prefill.age_s
        if waiting and sent > end:
            end = _run_iteration(prefills, finish, waiting, end, decode_only_s)
        waiting.append(index)
        finish.append(0.0)
        queued.append(False)
        if sent > end:
            # No prefill was running: it joins the next iteration, on average
            # after half of a decode-only one.
            end = sent + decode_only_s / 2
    while waiting and end <= 0.0:
        end = _run_iteration(prefills, finish, waiting, end, decode_only_s)
    left = end if end > 0.0 else decode_only_s / 2
    queued_prefill_s = sum(prefills[i].prefill_s for i in waiting)
    for index in waiting:
        queued[index] = True
        finish[index] = left + decode_only_s + queued_prefill_s
    return Timeline(
        decode_only_s,
        max(0.0, left),
        queued_prefill_s,
        tuple(finish),
        tuple(queued),
    )


def _run_iteration(prefills, finish, waiting, start, decode_only_s) -> float:
    """Runs an iteration with all waiting prefills; returns when it ends."""
    sum_s = sum(prefills[i].prefill_s for i in waiting)
    end = start + decode_only_s + sum_s
    for index in waiting:
        finish[index] = max(
            end, prefills[index].prefill_s * _MIN_REMAINING_SHARE
        )
    waiting.clear()
    return end


def _simulate_prefill_only(decode_only_s: float, prefills) -> Timeline:
    """Simulates an engine without decodes: the newest part comes first."""
    order = sorted(
        range(len(prefills)),
        key=lambda i: (
            not prefills[i].is_split,
            prefills[i].age_s if prefills[i].is_split else -prefills[i].age_s,
        ),
    )
    remaining = _remaining_s(prefills)
    finish = [0.0] * len(prefills)
    elapsed = 0.0
    for index in order:
        elapsed += remaining[index]
        finish[index] = elapsed
    return Timeline(
        decode_only_s, 0.0, 0.0, tuple(finish), (True,) * len(prefills)
    )


def _remaining_s(prefills) -> list[float]:
    """Returns what is left of each prefill when new parts preempt others."""
    left: list[float] = []
    for index, prefill in enumerate(prefills):
        left.append(prefill.prefill_s)
        until = prefills[index + 1].age_s if index + 1 < len(prefills) else 0.0
        budget = prefill.age_s - until
        # Parts from the newest on, then whole prompts from the oldest on.
        order = [i for i in range(index, -1, -1) if prefills[i].is_split]
        order += [i for i in range(index + 1) if not prefills[i].is_split]
        for position in order:
            used = min(budget, left[position])
            left[position] -= used
            budget -= used
    return [
        max(value, prefill.prefill_s * _MIN_REMAINING_SHARE)
        for value, prefill in zip(left, prefills, strict=True)
    ]
