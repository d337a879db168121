"""Load of one target as known to this instance.

Three sources are combined: this instance's own requests (exact), the load
that peers report (delayed) and the target's own report (delayed, and including
the other two).
"""

import dataclasses

from copperloom.targets import interface

__all__ = [
    "TargetLoad",
    "add",
    "end_prefill",
    "kv_in_use",
    "long_kv_in_use",
    "prefill_tokens",
    "record_report",
    "remove",
    "wait_tokens",
]

# The weight of a report halves in this time: an ordinary prompt is prefilled in
# less time than it takes for a report to arrive.
REPORT_HALF_LIFE_S = 0.5
# Prompt tokens that a decoding stream adds to the wait of a new prompt.
STREAM_TOKENS = 50
# The same for a stream queued at the engine, which indicates full KV memory.
WAITING_TOKENS = 2_000
INITIAL_LIMIT = 16.0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load and health of one target as known to this instance.

    Attributes:
        name: Name of the target.
        kv_tokens: KV memory in tokens, the lesser of the configured and the
            reported value.
        configured_kv_tokens: KV memory in tokens by the configuration.
        reported_kv_tokens: KV memory in tokens by the target's report; 0 before
            the first report.
        rank: Sort key of the target, the same at every instance.
        long_streams: Own long requests in flight.
        streams: Own requests in flight.
        prefill_tokens: Prompt tokens of own short requests without a first
            token.
        held_tokens: KV tokens of own requests in flight.
        long_tokens: KV tokens of own long requests in flight.
        long_prefill_tokens: Prompt tokens of own long requests without a first
            token.
        peer_streams: Requests in flight at peers.
        peer_prefill_tokens: Prompt tokens without a first token at peers.
        report: The last report.
        reported_at: Monotonic time that the report describes.
        held_at_report: `held_tokens` when the report arrived.
        limit: Maximum number of own requests in flight.
        limit_cut_at: Monotonic time at which the limit was last cut.
        ratio: Mean of first-token time over the pool's baseline.
        ratio_at: Monotonic time at which `ratio` last changed.
        samples: First-token times recorded since the last ejection.
        failures: Consecutive failures.
        ejections: Consecutive ejections.
        ejected_until: Monotonic time until which it gets no work.
        denials: Consecutive refusals of memory by its owner.
        full_until: Monotonic time until which it gets no long work.
    """

    name: str
    kv_tokens: int = 0
    configured_kv_tokens: int = 0
    reported_kv_tokens: int = 0
    rank: int = 0
    long_streams: int = 0
    streams: int = 0
    prefill_tokens: int = 0
    held_tokens: int = 0
    long_tokens: int = 0
    long_prefill_tokens: int = 0
    peer_streams: int = 0
    peer_prefill_tokens: int = 0
    report: interface.LoadReport | None = None
    reported_at: float = float("-inf")
    held_at_report: int = 0
    limit: float = INITIAL_LIMIT
    limit_cut_at: float = float("-inf")
    ratio: float = 0.0
    ratio_at: float = float("-inf")
    samples: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    denials: int = 0
    full_until: float = float("-inf")


def add(
    tgt: TargetLoad, prompt_tokens: int, held_tokens: int, *, long: bool
) -> None:
    """Adds a request that is sent to a target.

    Args:
        tgt: The target.
        prompt_tokens: Prompt tokens to prefill there.
        held_tokens: KV tokens that the request takes there.
        long: Whether the request is long.
    """
    tgt.streams += 1
    tgt.held_tokens += held_tokens
    if long:
        tgt.long_streams += 1
        tgt.long_tokens += held_tokens
        tgt.long_prefill_tokens += prompt_tokens
    else:
        tgt.prefill_tokens += prompt_tokens


def end_prefill(tgt: TargetLoad, prompt_tokens: int, *, long: bool) -> None:
    """Removes a prompt from the outstanding prefill tokens."""
    if long:
        tgt.long_prefill_tokens -= prompt_tokens
    else:
        tgt.prefill_tokens -= prompt_tokens


def remove(tgt: TargetLoad, held_tokens: int, *, long: bool) -> None:
    """Removes a request that has ended."""
    tgt.streams -= 1
    tgt.held_tokens -= held_tokens
    if long:
        tgt.long_streams -= 1
        tgt.long_tokens -= held_tokens


def set_memory(tgt: TargetLoad, configured: int, reported: int) -> bool:
    """Sets an engine's KV memory; returns whether the effective value changed.

    The lesser value applies: the configuration may exceed what the engine has,
    and a prompt that fits no engine would then be retried until its deadline
    instead of being refused at once.

    Args:
        tgt: The target.
        configured: KV tokens by the configuration.
        reported: KV tokens by the engine's report; 0 if unknown.
    """
    previous = tgt.kv_tokens
    tgt.configured_kv_tokens = configured
    tgt.reported_kv_tokens = reported
    tgt.kv_tokens = min(configured, reported) if reported else configured
    return tgt.kv_tokens != previous


def record_report(
    tgt: TargetLoad, report: interface.LoadReport, now: float
) -> None:
    """Stores a report unless a newer one is known."""
    reported_at = now - report.age_s
    if (
        reported_at < tgt.reported_at
        and tgt.report
        and report.boot == tgt.report.boot
    ):
        return
    tgt.report = report
    tgt.reported_at = reported_at
    tgt.held_at_report = tgt.held_tokens


def wait_tokens(
    tgt: TargetLoad,
    now: float,
    *,
    long: bool = False,
    max_other_tokens: float = float("inf"),
) -> float:
    """Estimates the prompt tokens ahead of a new prompt at a target.

    Own requests are exact. For those of other instances, the greater of the
    peers' updates and of the report without own requests is used, since each
    may miss some. The weight of a report decays with its age; otherwise all
    instances would choose the engine that was idle when it was sent.

    Args:
        tgt: The target.
        now: Monotonic seconds.
        long: Whether own long requests count; a short prompt has priority over
            them at the engine.
        max_other_tokens: Bound on the prompt tokens of other instances, for
            engines where most of them are long prompts of lower priority.
    """
    streams = tgt.peer_streams
    prefill = tgt.peer_prefill_tokens
    waiting = 0.0
    own_prefill = tgt.prefill_tokens + tgt.long_prefill_tokens
    if tgt.report is not None:
        age = max(0.0, now - tgt.reported_at)
        weight = 0.5 ** (age / REPORT_HALF_LIFE_S)
        reported = tgt.report.running + tgt.report.waiting - tgt.streams
        streams = max(streams, reported * weight)
        reported = tgt.report.prefill_tokens - own_prefill
        prefill = max(prefill, reported * weight)
        waiting = tgt.report.waiting * weight
    own = own_prefill if long else tgt.prefill_tokens
    return (
        own
        + min(prefill, max_other_tokens)
        + STREAM_TOKENS * (tgt.streams + streams)
        + WAITING_TOKENS * waiting
    )


def prefill_tokens(tgt: TargetLoad, now: float) -> float:
    """Estimates the outstanding prefill tokens of all instances."""
    own = tgt.prefill_tokens + tgt.long_prefill_tokens
    if tgt.report is None:
        return own + tgt.peer_prefill_tokens
    weight = 0.5 ** (max(0.0, now - tgt.reported_at) / REPORT_HALF_LIFE_S)
    reported = tgt.report.prefill_tokens * weight
    return max(own + tgt.peer_prefill_tokens, reported)


def kv_in_use(tgt: TargetLoad) -> int:
    """Estimates the KV tokens in use.

    The estimate is the last report plus own requests added since.
    """
    if tgt.report is None:
        return tgt.held_tokens
    added = max(0, tgt.held_tokens - tgt.held_at_report)
    return max(tgt.held_tokens, tgt.report.kv_used + added)


def long_kv_in_use(tgt: TargetLoad, short_tokens: int) -> int:
    """Estimates the KV tokens that the long requests of all instances hold.

    A report has the total tokens and streams only. Each stream is assumed to be
    a short one of `short_tokens`; the remaining tokens are counted as long.
    """
    if tgt.report is None:
        return tgt.long_tokens
    remaining = tgt.report.kv_used - tgt.report.running * short_tokens
    return max(tgt.long_tokens, remaining)
