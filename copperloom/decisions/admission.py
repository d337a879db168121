"""Admission control: immediate refusals with a retry-after time."""

import random

from copperloom import configuration, messages
from copperloom.decisions import fairqueue, load
from copperloom.decisions import pool as pool_module

__all__ = [
    "cannot_finish",
    "capacity_refusal",
    "cost_of",
    "expires_at",
    "overload_refusal",
    "refuse",
    "residence_s",
    "wait_s",
]

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 60.0
# Jitter keeps callers that are refused together from retrying together.
RETRY_JITTER = 0.5
# Refusals are sent this long before the deadline.
DEADLINE_MARGIN_S = 0.05
# An admitted short request may stay queued for this multiple of the wait bound,
# since predictions are inexact.
MAX_WAIT_OVERRUN = 2.0
# Long requests may be queued for this share of their remaining time.
MAX_LONG_WAIT_SHARE = 0.5
# A request is refused if its remaining time is below this share of its
# predicted residence time; it would take capacity from requests that can still
# finish. At one half it could not finish even if it ran twice as fast as usual.
MIN_RUN_SHARE = 0.5


def cost_of(req: messages.Request) -> int:
    """Returns the estimated tokens of a request, at least 1."""
    return max(1, req.prompt_tokens + req.max_tokens)


def wait_s(
    pool: pool_module.Pool, req: messages.Request, now: float, *, long: bool
) -> float:
    """Predicts the queueing time of a request that arrives now, in seconds.

    For a short request these are the tokens ahead of it in fair order, divided
    by the throughput. For a long request see `_long_wait_s`.
    """
    if long:
        return _long_wait_s(pool, req, now)
    tokens_ahead = fairqueue.tokens_ahead(pool.short, req)
    if tokens_ahead <= 0.0:
        return 0.0
    tokens_per_s = pool_module.throughput(pool.short_residence)
    if tokens_per_s <= 0.0:
        return (
            tokens_ahead
            * pool.first_token_stats.baseline_s
            / max(1, len(pool.targets))
        )
    return tokens_ahead / tokens_per_s


def residence_s(pool: pool_module.Pool, cost: int, *, long: bool) -> float:
    """Predicts the seconds that a request spends at its target.

    Returns 0 without samples, since a guess could refuse requests that an idle
    engine would finish in time.
    """
    residence = pool.long_residence if long else pool.short_residence
    if residence.samples == 0:
        return 0.0
    if long:
        return residence.seconds * cost / max(residence.cost, 1.0)
    return residence.seconds


def expires_at(
    req: messages.Request, preset: configuration.Preset, now: float, *, long
) -> float:
    """Returns the monotonic time at which a queued request is refused.

    Args:
        req: The request.
        preset: The preset in force.
        now: Monotonic seconds.
        long: Whether the request is long.
    """
    bound_s = _wait_bound_s(req, preset, now, long=long)
    overrun = 1.0 if long else MAX_WAIT_OVERRUN
    return min(req.deadline - DEADLINE_MARGIN_S, now + overrun * bound_s)


def overload_refusal(
    pool: pool_module.Pool,
    req: messages.Request,
    preset: configuration.Preset,
    now: float,
    rng: random.Random,
    *,
    long: bool,
) -> messages.Refusal | None:
    """Returns a refusal if the predicted queueing time is too long, else None.

    Above capacity an unbounded queue makes every answer miss its deadline. An
    immediate refusal lets the caller go elsewhere, and states the time after
    which the backlog should be processed. The bound is in predicted seconds,
    because the prompts vary too much in length for a bound on the number of
    requests.
    """
    predicted_s = wait_s(pool, req, now, long=long)
    if predicted_s <= 0.0:
        return None
    bound_s = _wait_bound_s(req, preset, now, long=long)
    spare_s = req.deadline - now - residence_s(pool, cost_of(req), long=long)
    excess_s = predicted_s - min(bound_s, spare_s)
    if excess_s <= 0.0:
        return None
    if long:
        return capacity_refusal(req, excess_s, rng)
    text = f"predicted wait of {predicted_s:.1f} s exceeds the limit"
    return refuse(req, "OverloadedError", text, excess_s, rng)


def capacity_refusal(
    req: messages.Request, after_s: float, rng: random.Random
) -> messages.Refusal:
    """Builds the refusal of a long request for lack of capacity."""
    text = "no capacity for long requests within the time limit"
    return refuse(req, "CapacityExceededError", text, after_s, rng)


def cannot_finish(
    pool: pool_module.Pool, req: messages.Request, now: float, *, long: bool
) -> bool:
    """Returns whether a queued request can no longer meet its deadline.

    Only the prompt is counted: `max_tokens` is an upper bound that few answers
    reach.
    """
    needed_s = MIN_RUN_SHARE * residence_s(
        pool, max(1, req.prompt_tokens), long=long
    )
    return now + needed_s > req.deadline


def refuse(
    req: messages.Request,
    error: str,
    text: str,
    after_s: float,
    rng: random.Random,
) -> messages.Refusal:
    """Builds a refusal with a jittered retry-after time."""
    after_s = min(max(after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    after_s *= 1.0 + RETRY_JITTER * rng.random()
    return messages.Refusal(req, error, text, after_s)


def _long_wait_s(pool, req, now):
    """Predicts the queueing time of a long request, in seconds.

    An instance has too few long requests for its own throughput to be a useful
    estimate, so the prediction uses the prefill backlog of all instances from
    the engines' reports. The wait of the first request in the queue is a lower
    bound.
    """
    if not pool.long:
        return 0.0
    tokens_ahead = fairqueue.tokens_ahead(pool.long, req)
    tokens_ahead += sum(load.prefill_tokens(t, now) for t in pool.long_targets)
    head = fairqueue.first(pool.long, 1)[0]
    drained_s = (
        tokens_ahead
        * pool.long_first_token_stats.baseline_s
        / max(1, len(pool.long_targets))
    )
    return max(drained_s, now - head.queued_at)


def _wait_bound_s(req, preset, now, *, long):
    bound_s = preset.max_queue_wait_s
    if long:
        bound_s = max(bound_s, MAX_LONG_WAIT_SHARE * (req.deadline - now))
    return bound_s
