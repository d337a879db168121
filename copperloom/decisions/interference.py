"""The worth that a placement takes from others, and its own lateness.

Times are predicted by `copperloom.decisions.iterations`; how likely a time
turns out too late is a slope, not a step, because more comes in between.
"""

import dataclasses
import math

from copperloom.decisions import iterations, plans, timeouts

__all__ = [
    "DecodeLoss",
    "arrival_interference",
    "decode_loss",
    "waiting_loss",
    "prefill_interference",
]

# Times are predicted to about this; lateness is a slope, not a step, so that
# of two placements near the limit the quicker one is taken.
PREDICTION_ERROR_S = 0.035
# The longer a time, the more comes in between; as shares of the limit.
PREDICTION_ERROR_SHARE = 0.06
# An aim below it would make any wait dear.
_LEAST_AIM_S = 0.05
# Kept free below a limit for the way, for timers and for what is not known.
NETWORK_MARGIN_S = 0.03
NETWORK_MARGIN_SHARE = 0.1
# Share of its worth that a late request loses.
LATE_LOSS = 0.75
# Requests below this worth are short: they come often and end soon.
SHORT_WORTH = 3.0
# Cost of a second of waiting, to tell placements apart that are all in time.
WAIT_COST = 0.25
# A prompt that comes while an engine reads a part no longer than this still
# gets its first token in time there.
SHORT_PART_S = 0.12
# A prompt that is read within this time writes in the next pass.
SOON_WRITES_S = 0.08
# Share of an engine's slots that new prompts can make use of: they come in
# clumps, and each writer slows the pass a little.
USABLE_SLOTS = 0.7
# A short answer is written in about this time, so the requests in progress
# come anew once in it.
SHORT_ANSWER_S = 1.5
# Callers leave a stream that shows no token for four times its objective.
ABANDON_OBJECTIVES = 3.5
# Kept below the silence after which callers leave: one that has left has
# nothing of what was done for it.
ABANDON_MARGIN = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeLoss:
    """What a target's writers stand to lose, before anything is added.

    Attributes:
        decodes: Pairs of a longest accepted pause and the worth of all answers
            that have it: a target writes many answers of few kinds.
        lost: The worth that they lose as things are.
    """

    decodes: tuple[tuple[float, float], ...]
    lost: float


def decode_loss(tgt: plans.Candidate, time: iterations.Timeline) -> DecodeLoss:
    """Prepares what `prefill_interference` needs of a target."""
    aims: dict[float, float] = {}
    for writer in tgt.load.decodes:
        aim = writer.pause_aim_s
        aims[aim] = aims.get(aim, 0.0) + writer.worth
    before = time.decode_only_s + time.queued_prefill_s
    lost = sum(w * _pause_loss(aim, before) for aim, w in aims.items())
    return DecodeLoss(tuple(aims.items()), lost)


def prefill_interference(
    tgt: plans.Candidate,
    time: iterations.Timeline,
    known: DecodeLoss,
    part_s: float,
    in_parts: bool,
) -> float:
    """Predicts the worth that others lose when a target reads a part."""
    before = time.decode_only_s + time.queued_prefill_s
    lost = -known.lost
    for aim, worth in known.decodes:
        lost += worth * _pause_loss(aim, before + part_s)
    # An engine that writes takes a part into its next pass; one that only
    # reads puts parts before all else, and whole prompts after it.
    shifts = bool(tgt.load.decodes) or in_parts
    for reader, done, pending in zip(
        tgt.load.prefills, time.done_s, time.pending, strict=True
    ):
        if shifts and pending:
            limit = reader.due_s - time.decode_only_s
            more = _late(done + part_s, limit) - _late(done, limit)
            lost += reader.worth * more * LATE_LOSS + part_s * WAIT_COST
        # A prompt in the pass that runs writes from the next one on, and so
        # does one that is nearly read: the part comes after its first token.
        in_pass = bool(tgt.load.decodes) and not pending
        if reader.pause_aim_s is not None and (in_pass or done < SOON_WRITES_S):
            aim = reader.pause_aim_s
            lost += reader.worth * _pause_loss(aim, before + part_s)
    return lost + WAIT_COST * time.prefill_left_s


def _pause_loss(aim_s: float, pause_s: float) -> float:
    """Returns the share of an answer's worth that a pause takes."""
    leaves_s = timeouts.abandon_after_s(0.0, aim_s)
    loss = LATE_LOSS * _late(pause_s, aim_s)
    return loss + (1 - LATE_LOSS) * _late(pause_s, leaves_s * ABANDON_MARGIN)


def waiting_loss(prompt: plans.Prompt, first_s: float) -> float:
    """Predicts the worth that a request itself loses by waiting."""
    aim = prompt.first_token_aim_s
    loss = LATE_LOSS * _late(first_s, aim)
    loss += (1 - LATE_LOSS) * _late(first_s, aim * ABANDON_OBJECTIVES)
    waiting = WAIT_COST * first_s / max(aim, _LEAST_AIM_S)
    return plans.worth(prompt.tokens) * loss + waiting


def arrival_interference(
    engine, candidates, chosen, times, part_s: float
) -> float:
    """Predicts the worth that requests lose which come while a part is read.

    Engines that read for long are closed to them. As long as the others have
    slots enough for the requests in progress, nothing is lost; a prompt that
    closes more than that makes all that come late until it is read.
    """
    closed_s = part_s - SHORT_PART_S
    if closed_s <= 0:
        return 0.0
    names = {c.name for c in chosen}
    open_now = {
        c.name
        for c in candidates
        if times[c.name].prefill_left_s < SHORT_PART_S
    }
    short = sum(
        w.worth < SHORT_WORTH for c in candidates for w in c.load.decodes
    )
    before = _turned_late(engine, len(open_now), short)
    after = _turned_late(engine, len(open_now - names), short)
    return LATE_LOSS * (after - before) * closed_s / SHORT_ANSWER_S


def _turned_late(engine, open_engines: int, short: int) -> float:
    """Returns how many of the short requests find no place in time."""
    return max(0.0, short - open_engines * engine.slots * USABLE_SLOTS)


def _late(time_s: float, limit_s: float) -> float:
    """Returns the chance that a predicted time turns out over a limit."""
    blur_s = max(PREDICTION_ERROR_S, PREDICTION_ERROR_SHARE * limit_s)
    limit_s -= max(NETWORK_MARGIN_S, NETWORK_MARGIN_SHARE * limit_s)
    return 1.0 / (1.0 + math.exp(min(50.0, (limit_s - time_s) / blur_s)))
