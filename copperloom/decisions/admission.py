"""Admission: what is refused at once, with the time to come back."""

import random

from copperloom import configuration, messages
from copperloom.decisions import fairqueue, load
from copperloom.decisions import pool as pool_module

__all__ = [
    "capacity_refusal",
    "cost_of",
    "doomed",
    "give_up_at",
    "overload_refusal",
    "refuse",
    "run_s",
    "wait_s",
]

RETRY_LEAST_S = 0.2
RETRY_MOST_S = 60.0
# Those refused together must not come back together.
RETRY_JITTER = 0.5
# A refusal is told to the caller this long before the deadline.
MARGIN_S = 0.05
# Predictions err; a request admitted on one waits up to this times the bound.
OVERRUN = 2.0
# Long work may wait longer than short, up to this share of its time left.
LONG_WAIT_SHARE = 0.5
# Work that needs more than its time left even if it runs twice as fast as
# usual is not sent: it would take the place of work that can still finish.
DOOMED_SHARE = 0.5


def cost_of(req: messages.Request) -> int:
    """Returns the estimated tokens of a request, at least 1."""
    return max(1, req.prompt_tokens + req.max_tokens)


def wait_s(
    pool: pool_module.Pool, req: messages.Request, now: float, *, long: bool
) -> float:
    """Predicts how long a request would be queued if it came now.

    Short work: the tokens that would go before it, by the fair queue's order,
    over the tokens a second that leave. Long work: see `_long_wait_s`.
    """
    if long:
        return _long_wait_s(pool, req, now)
    ahead = fairqueue.tokens_ahead(pool.short, req)
    if ahead <= 0.0:
        return 0.0
    rate = pool_module.throughput(pool.short_residence)
    if rate <= 0.0:
        return (
            ahead * pool.first_token_stats.quick_s / max(1, len(pool.targets))
        )
    return ahead / rate


def run_s(pool: pool_module.Pool, cost: int, *, long: bool) -> float:
    """Predicts how long a request stays at its target.

    0 while nothing has been seen: a guess would refuse work for which an idle
    engine has all the time that it needs.
    """
    stay = pool.long_residence if long else pool.short_residence
    if stay.samples == 0:
        return 0.0
    if long:
        return stay.seconds * cost / max(stay.cost, 1.0)
    return stay.seconds


def give_up_at(
    req: messages.Request, preset: configuration.Preset, now: float, *, long
) -> float:
    """Returns when a queued request is refused though no prediction said so."""
    bound = _wait_bound_s(req, preset, now, long=long)
    overrun = 1.0 if long else OVERRUN
    return min(req.deadline - MARGIN_S, now + overrun * bound)


def overload_refusal(
    pool: pool_module.Pool,
    req: messages.Request,
    preset: configuration.Preset,
    now: float,
    rng: random.Random,
    *,
    long: bool,
) -> messages.Refusal | None:
    """Refuses a request that would wait too long, at once.

    Made for offered load above capacity, where a queue without a bound makes
    every answer late: all work is done and none in time. A refusal at once
    lets the caller turn elsewhere, and tells when the backlog of now will be
    worked off. The bound is in predicted seconds, since a length in requests
    means milliseconds or minutes according to the prompts in it.
    """
    wait = wait_s(pool, req, now, long=long)
    if wait <= 0.0:
        return None
    bound = _wait_bound_s(req, preset, now, long=long)
    spare = req.deadline - now - run_s(pool, cost_of(req), long=long)
    over = wait - min(bound, spare)
    if over <= 0.0:
        return None
    if long:
        return capacity_refusal(req, over, rng)
    text = f"predicted wait of {wait:.1f} s is over the limit"
    return refuse(req, "OverloadedError", text, over, rng)


def capacity_refusal(
    req: messages.Request, after_s: float, rng: random.Random
) -> messages.Refusal:
    """Refuses long work for which no memory comes in time."""
    text = "no memory for long work in its time limit"
    return refuse(req, "CapacityExceededError", text, after_s, rng)


def doomed(
    pool: pool_module.Pool, req: messages.Request, now: float, *, long: bool
) -> bool:
    """Tells whether a queued request can't finish any more.

    Only the prompt is counted: the answer's tokens are a bound that callers
    set high and few answers reach.
    """
    needed = DOOMED_SHARE * run_s(pool, max(1, req.prompt_tokens), long=long)
    return now + needed > req.deadline


def refuse(
    req: messages.Request,
    error: str,
    text: str,
    after_s: float,
    rng: random.Random,
) -> messages.Refusal:
    """Makes a refusal with a jittered time to come back."""
    after_s = min(max(after_s, RETRY_LEAST_S), RETRY_MOST_S)
    after_s *= 1.0 + RETRY_JITTER * rng.random()
    return messages.Refusal(req, error, text, after_s)


def _long_wait_s(pool, req, now):
    """Predicts the wait of long work.

    An entry has a few long requests at most, so its own throughput says
    little; what all entries have at the engines does, from their reports. The
    wait of the one at the head is a bound from below that needs no estimate.
    """
    if not pool.long:
        return 0.0
    ahead = fairqueue.tokens_ahead(pool.long, req)
    ahead += sum(load.prefill_tokens(t, now) for t in pool.long_part)
    head = fairqueue.first(pool.long, 1)[0]
    worked_off = (
        ahead
        * pool.long_first_token_stats.quick_s
        / max(1, len(pool.long_part))
    )
    return max(worked_off, now - head.queued_at)


def _wait_bound_s(req, preset, now, *, long):
    bound = preset.max_queue_wait_s
    if long:
        bound = max(bound, LONG_WAIT_SHARE * (req.deadline - now))
    return bound
