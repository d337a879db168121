"""How long a model engine's passes take.

An engine works in passes. A pass that writes answers takes `stride` steps and
gives each writer its event at the end; prompts are read inside the same
passes. So the pause of a writer is the pass, and a pass grows by whatever
reading stands beside it. The functions here predict those times from the
figures that the operators state for the engines of a service.
"""

import dataclasses

from copperloom import routing
from copperloom.decisions import inflight

__all__ = ["Timeline", "iteration_s", "simulate", "prefill_s"]

# A reading that takes longer than predicted goes on; this share of it counts
# until its first token shows that it has ended.
_LEAST_LEFT = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """What an engine will do next, as predicted.

    Attributes:
        decode_only_s: Its pass without any reading.
        iteration_left_s: Time until the pass that runs now ends.
        queued_prefill_s: Reading that came since and that the next pass takes
            in.
        done_s: Time until each reader's prompt or part is read, in order.
        pending: Whether each of them waits for the next pass.
    """

    decode_only_s: float
    iteration_left_s: float
    queued_prefill_s: float
    done_s: tuple[float, ...]
    pending: tuple[bool, ...]

    @property
    def prefill_left_s(self) -> float:
        """Time until all that is known of is read."""
        return max(self.done_s, default=0.0)


def prefill_s(engine: routing.EngineSpec, tokens: int) -> float:
    """Predicts the time to read a prompt at one engine, in seconds.

    Each token costs the same, and each pair of a token and an earlier one
    costs a little: long prompts cost with their square.
    """
    pairs = 0.5 * tokens * tokens
    return tokens / engine.prefill_tokens_per_s + pairs * engine.pair_s


def iteration_s(
    engine: routing.EngineSpec, writers: int, context: int
) -> float:
    """Predicts a pass without any reading, in seconds.

    Args:
        engine: The engine's figures.
        writers: Answers being written.
        context: Tokens of context of all of them together.
    """
    step = engine.step_s
    step += writers * engine.per_sequence_s
    step += context * engine.context_s
    return engine.stride * step


def simulate(engine: routing.EngineSpec, load: inflight.TargetLoad) -> Timeline:
    """Predicts what an engine does next from what was sent to it.

    An engine that writes takes into a pass all reading that has come by its
    start; what comes later waits for the next one. So the pause of a writer is
    one pass, and readings in different passes do not add up for it. An engine
    that writes nothing turns to the newest part at once, and reads whole
    prompts in their order after the parts.
    """
    idle_s = iteration_s(engine, len(load.decodes), load.context)
    if not load.decodes:
        return _play_reading(idle_s, load.prefills)
    return _play_passes(idle_s, load.prefills)


def _play_passes(idle_s: float, readers) -> Timeline:
    # Times are relative to now; a pass ends at `end` and holds `length`.
    end = float("-inf")
    done = []
    pending = []
    waiting: list[int] = []
    for index, reader in enumerate(readers):
        sent = -reader.age_s
        if waiting and sent > end:
            end = _close_pass(readers, done, waiting, end, idle_s)
        waiting.append(index)
        done.append(0.0)
        pending.append(False)
        if sent > end:
            # Nothing was being read: it joins the pass that starts next, on
            # average after half of an idle one.
            end = sent + idle_s / 2
    while waiting and end <= 0.0:
        end = _close_pass(readers, done, waiting, end, idle_s)
    left = end if end > 0.0 else idle_s / 2
    pending_s = sum(readers[i].prefill_s for i in waiting)
    for index in waiting:
        pending[index] = True
        done[index] = left + idle_s + pending_s
    return Timeline(
        idle_s, max(0.0, left), pending_s, tuple(done), tuple(pending)
    )


def _close_pass(readers, done, waiting, start, idle_s) -> float:
    """Runs the pass that takes in all that waits; returns its end."""
    reads_s = sum(readers[i].prefill_s for i in waiting)
    end = start + idle_s + reads_s
    for index in waiting:
        done[index] = max(end, readers[index].prefill_s * _LEAST_LEFT)
    waiting.clear()
    return end


def _play_reading(idle_s: float, readers) -> Timeline:
    """Plays an engine that only reads: the newest part first."""
    order = sorted(
        range(len(readers)),
        key=lambda i: (
            not readers[i].is_split,
            readers[i].age_s if readers[i].is_split else -readers[i].age_s,
        ),
    )
    left = _reading_left(readers)
    done = [0.0] * len(readers)
    total = 0.0
    for index in order:
        total += left[index]
        done[index] = total
    return Timeline(idle_s, 0.0, 0.0, tuple(done), (True,) * len(readers))


def _reading_left(readers) -> list[float]:
    """Plays the readings from the first on; each new part goes ahead."""
    left: list[float] = []
    for index, reader in enumerate(readers):
        left.append(reader.prefill_s)
        until = readers[index + 1].age_s if index + 1 < len(readers) else 0.0
        spent = reader.age_s - until
        # Parts from the newest on, then whole prompts from the oldest on.
        stack = [i for i in range(index, -1, -1) if readers[i].is_split]
        stack += [i for i in range(index + 1) if not readers[i].is_split]
        for at in stack:
            used = min(spent, left[at])
            left[at] -= used
            spent -= used
    return [
        max(value, reader.prefill_s * _LEAST_LEFT)
        for value, reader in zip(left, readers, strict=True)
    ]
