"""Predicts the worth that a placement costs others and the request itself.

Times are predicted by `copperloom.decisions.iterations`. Whether a time misses
its objective is a probability, since more work may arrive in between.
"""

import dataclasses
import math

from copperloom.decisions import iterations, plans, timeouts

__all__ = [
    "DecodeLoss",
    "arrival_interference",
    "decode_loss",
    "pause_loss",
    "waiting_loss",
    "prefill_interference",
]

# Assumed error of predicted times. It makes the loss a smooth function, so that
# of two placements near the limit the faster one costs less.
PREDICTION_ERROR_S = 0.035
# Lower bound of the error as a share of the limit: long predictions vary more.
PREDICTION_ERROR_SHARE = 0.06
# Lower bound of an objective when waiting is related to it.
_MIN_OBJECTIVE_S = 0.05
# Margin below a limit for the network, timers and unknown work.
NETWORK_MARGIN_S = 0.03
NETWORK_MARGIN_SHARE = 0.1
# Share of its worth that a request loses when it misses an objective.
LATE_LOSS = 0.75
# Requests below this worth are short: they arrive often and end soon.
SHORT_WORTH = 3.0
# Cost of a second of waiting; ranks placements that all meet the objective.
WAIT_COST = 0.25
# A prompt that arrives during a prefill no longer than this still gets its
# first token within its objective.
SHORT_PART_S = 0.12
# A prompt whose prefill ends within this time decodes in the next iteration.
SOON_DECODES_S = 0.08
# Share of an engine's slots that new prompts can use: arrivals are bursty, and
# each decode lengthens the iteration a little.
USABLE_SLOTS = 0.7
# Typical generation time of a short answer; short requests in progress are
# replaced by as many new ones in it.
SHORT_ANSWER_S = 1.5
# Multiple of the first-token objective after which callers are assumed to
# abandon a stream without a token. They leave at four times the objective.
ABANDON_MARGIN_OBJECTIVES = 3.5
# Safety factor for the gap after which callers abandon a stream, since all work
# for it is then wasted.
ABANDON_MARGIN = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeLoss:
    """The worth that a target's decodes lose before any work is added.

    Attributes:
        decodes: Pairs of an inter-token objective in seconds and the worth of
            all answers that have it; a target has few distinct objectives.
        lost: The worth that they lose at present.
    """

    decodes: tuple[tuple[float, float], ...]
    lost: float


def decode_loss(
    tgt: plans.Candidate, timeline: iterations.Timeline
) -> DecodeLoss:
    """Returns the loss of a target's decodes before a part is added.

    It is the same for all numbers of parts, so it is computed only once.

    Args:
        tgt: The target.
        timeline: Its predicted iterations.
    """
    objectives: dict[float, float] = {}
    for decode in tgt.load.decodes:
        objective = decode.pause_aim_s
        objectives[objective] = objectives.get(objective, 0.0) + decode.worth
    gap_s = timeline.decode_only_s + timeline.queued_prefill_s
    lost = sum(w * _gap_loss(o, gap_s) for o, w in objectives.items())
    return DecodeLoss(tuple(objectives.items()), lost)


def prefill_interference(
    tgt: plans.Candidate,
    timeline: iterations.Timeline,
    current: DecodeLoss,
    part_s: float,
    is_split: bool,
) -> float:
    """Predicts the worth that others lose when a target prefills a part.

    Args:
        tgt: The target.
        timeline: Its predicted iterations.
        current: The loss of its decodes without the part.
        part_s: Prefill time of the part, in seconds.
        is_split: Whether it is one of several parts of a prompt.
    """
    gap_s = timeline.decode_only_s + timeline.queued_prefill_s
    lost = -current.lost
    for objective, worth in current.decodes:
        lost += worth * _gap_loss(objective, gap_s + part_s)
    # An engine that decodes adds a part to its next iteration; one that only
    # prefills processes parts before all else, and whole prompts last.
    delays = bool(tgt.load.decodes) or is_split
    for prefill, finish, queued in zip(
        tgt.load.prefills, timeline.finish_s, timeline.queued, strict=True
    ):
        if delays and queued:
            limit = prefill.due_s - timeline.decode_only_s
            added = _late_probability(
                finish + part_s, limit
            ) - _late_probability(finish, limit)
            lost += prefill.worth * added * LATE_LOSS + part_s * WAIT_COST
        # A prompt in the current iteration, or nearly finished, decodes in the
        # next one, so the part lengthens its first gap between tokens.
        running = bool(tgt.load.decodes) and not queued
        if prefill.pause_aim_s is not None and (
            running or finish < SOON_DECODES_S
        ):
            objective = prefill.pause_aim_s
            lost += prefill.worth * _gap_loss(objective, gap_s + part_s)
    return lost + WAIT_COST * timeline.prefill_left_s


def _gap_loss(objective_s: float, gap_s: float) -> float:
    """Returns the share of an answer's worth that a gap between tokens costs.

    Args:
        objective_s: The inter-token objective, in seconds.
        gap_s: The gap, in seconds.
    """
    abandon_s = timeouts.abandon_after_s(0.0, objective_s)
    loss = LATE_LOSS * _late_probability(gap_s, objective_s)
    return loss + (1 - LATE_LOSS) * _late_probability(
        gap_s, abandon_s * ABANDON_MARGIN
    )


def pause_loss(prompt: plans.Prompt, gap_s: float) -> float:
    """Predicts the worth that a request itself loses by gaps between tokens.

    Args:
        prompt: Its prompt.
        gap_s: Predicted gap, in seconds.
    """
    return plans.worth(prompt.tokens) * _gap_loss(prompt.pause_aim_s, gap_s)


def waiting_loss(prompt: plans.Prompt, first_token_s: float) -> float:
    """Predicts the worth that a request itself loses by waiting.

    Args:
        prompt: Its prompt.
        first_token_s: Predicted time to the first token, in seconds.
    """
    objective = prompt.first_token_aim_s
    loss = LATE_LOSS * _late_probability(first_token_s, objective)
    loss += (1 - LATE_LOSS) * _late_probability(
        first_token_s, objective * ABANDON_MARGIN_OBJECTIVES
    )
    waiting = WAIT_COST * first_token_s / max(objective, _MIN_OBJECTIVE_S)
    return plans.worth(prompt.tokens) * loss + waiting


def arrival_interference(
    engine, candidates, chosen, timelines, part_s: float
) -> float:
    """Predicts the worth that requests lose which arrive during a prefill.

    Engines with a long prefill are closed to short requests. Nothing is lost
    while the other engines have enough slots for the requests in progress;
    beyond that, all requests that arrive until the prefill ends miss their
    objectives.

    Args:
        engine: Figures of the service's engines.
        candidates: The engines that may be used.
        chosen: Those that prefill a part.
        timelines: Their predicted iterations by name.
        part_s: Prefill time of each part, in seconds.
    """
    closed_s = part_s - SHORT_PART_S
    if closed_s <= 0:
        return 0.0
    chosen_names = {c.name for c in chosen}
    open_now = {
        c.name
        for c in candidates
        if timelines[c.name].prefill_left_s < SHORT_PART_S
    }
    short_requests = sum(
        d.worth < SHORT_WORTH for c in candidates for d in c.load.decodes
    )
    before = _displaced_requests(engine, len(open_now), short_requests)
    after = _displaced_requests(
        engine, len(open_now - chosen_names), short_requests
    )
    return LATE_LOSS * (after - before) * closed_s / SHORT_ANSWER_S


def _displaced_requests(
    engine, open_engines: int, short_requests: int
) -> float:
    """Returns how many short requests find no slot at an open engine."""
    return max(0.0, short_requests - open_engines * engine.slots * USABLE_SLOTS)


def _late_probability(time_s: float, limit_s: float) -> float:
    """Returns the probability that a predicted time exceeds its limit."""
    error_s = max(PREDICTION_ERROR_S, PREDICTION_ERROR_SHARE * limit_s)
    limit_s -= max(NETWORK_MARGIN_S, NETWORK_MARGIN_SHARE * limit_s)
    return 1.0 / (1.0 + math.exp(min(50.0, (limit_s - time_s) / error_s)))
