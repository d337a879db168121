"""What this entry knows of the load of one target.

Three views with different faults are joined: this entry's own work (exact),
the peers' work (a digest old) and the target's own report (lagging, and it
counts the other two again).
"""

import dataclasses

from copperloom.targets import interface

__all__ = [
    "TargetLoad",
    "add",
    "kv_in_use",
    "long_kv_in_use",
    "prefill_tokens",
    "remove",
    "started",
    "take_report",
    "wait_tokens",
]

# A prompt of ordinary length is prefilled in less time than a report is old.
REPORT_HALF_LIFE_S = 0.5
# What a decoding stream adds to the wait of a new prompt, as prompt tokens.
STREAM_TOKENS = 50
# A stream that waits at the engine shows that its memory is full.
WAITING_TOKENS = 2_000
INITIAL_LIMIT = 16.0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load and health of one target as seen from this entry.

    Attributes:
        name: The target.
        kv_tokens: KV memory in tokens, the lesser of the two that follow.
        configured_kv_tokens: KV memory as the operators set it.
        said_kv_tokens: KV memory by its own report; 0 before the first one.
        rank: Place in the order that all entries share.
        long_streams: Own streams of long work in flight.
        streams: Own streams in flight.
        prefill_tokens: Own prompt tokens of short work without first token.
        held_tokens: KV tokens of all own work in flight.
        long_tokens: KV tokens of own long work in flight.
        long_prefill_tokens: Own long prompt tokens without first token.
        peer_streams: Streams that peers told of.
        peer_prefill_tokens: Prompt tokens that peers told of.
        report: Its last report.
        reported_at: Monotonic time that the report describes.
        held_at_report: `held_tokens` when the report came.
        limit: Most own streams at once.
        limit_cut_at: When the limit was last cut.
        ratio: Average of first-token time over the pool's quick time.
        ratio_at: When `ratio` last changed.
        samples: First-token times seen since the last ejection.
        failures: Failures in a row.
        ejections: Ejections in a row.
        ejected_until: Monotonic time until which it gets no work.
        denials: Refusals of memory in a row by its owner.
        full_until: Monotonic time until which it gets no long work.
    """

    name: str
    kv_tokens: int = 0
    configured_kv_tokens: int = 0
    said_kv_tokens: int = 0
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


def add(tgt: TargetLoad, prompt: int, held: int, *, long: bool) -> None:
    """Counts work that goes out.

    Args:
        tgt: The target.
        prompt: Prompt tokens to prefill there.
        held: KV tokens that it takes there.
        long: Whether it is long work.
    """
    tgt.streams += 1
    tgt.held_tokens += held
    if long:
        tgt.long_streams += 1
        tgt.long_tokens += held
        tgt.long_prefill_tokens += prompt
    else:
        tgt.prefill_tokens += prompt


def started(tgt: TargetLoad, prompt: int, *, long: bool) -> None:
    """Takes a prompt off the prefill that is waited for."""
    if long:
        tgt.long_prefill_tokens -= prompt
    else:
        tgt.prefill_tokens -= prompt


def remove(tgt: TargetLoad, held: int, *, long: bool) -> None:
    """Counts work that is over."""
    tgt.streams -= 1
    tgt.held_tokens -= held
    if long:
        tgt.long_streams -= 1
        tgt.long_tokens -= held


def set_memory(tgt: TargetLoad, configured: int, said: int) -> bool:
    """Notes an engine's memory by its two sources; tells if it changed.

    Operators may set more than an engine has, or it restarts with less.
    Trusting the setting, a prompt that no engine can hold would be sent and
    refused again and again until its time limit, in place of a refusal at
    once.
    """
    before = tgt.kv_tokens
    tgt.configured_kv_tokens = configured
    tgt.said_kv_tokens = said
    tgt.kv_tokens = min(configured, said) if said else configured
    return tgt.kv_tokens != before


def take_report(
    tgt: TargetLoad, load: interface.LoadReport, now: float
) -> None:
    """Keeps a report unless a newer one is known."""
    at = now - load.age_s
    if at < tgt.reported_at and tgt.report and load.boot == tgt.report.boot:
        return
    tgt.report = load
    tgt.reported_at = at
    tgt.held_at_report = tgt.held_tokens


def wait_tokens(
    tgt: TargetLoad,
    now: float,
    *,
    long: bool = False,
    most_foreign: float = float("inf"),
) -> float:
    """Estimates the prompt tokens that a new prompt waits for.

    Made for many entries that place on the same engines. Own work is exact;
    of the others' the greater of the peers' word and what the report shows
    beyond our own is taken, since each may miss what the other has. The
    report loses half its weight every `REPORT_HALF_LIFE_S`: an old one sends
    all entries to the engine that was idle then.

    Args:
        tgt: The target.
        now: Monotonic seconds.
        long: Whether own long work is in the way too; short work passes it
            at the engine.
        most_foreign: Bound on the others' prompt tokens, where most of them
            are long work that short work passes.
    """
    streams = tgt.peer_streams
    prefill = tgt.peer_prefill_tokens
    waiting = 0.0
    own_prefill = tgt.prefill_tokens + tgt.long_prefill_tokens
    if tgt.report is not None:
        age = max(0.0, now - tgt.reported_at)
        weight = 0.5 ** (age / REPORT_HALF_LIFE_S)
        seen = tgt.report.running + tgt.report.waiting - tgt.streams
        streams = max(streams, seen * weight)
        seen = tgt.report.prefill_tokens - own_prefill
        prefill = max(prefill, seen * weight)
        waiting = tgt.report.waiting * weight
    own = own_prefill if long else tgt.prefill_tokens
    return (
        own
        + min(prefill, most_foreign)
        + STREAM_TOKENS * (tgt.streams + streams)
        + WAITING_TOKENS * waiting
    )


def prefill_tokens(tgt: TargetLoad, now: float) -> float:
    """Estimates the prompt tokens of all entries that wait for prefill."""
    own = tgt.prefill_tokens + tgt.long_prefill_tokens
    if tgt.report is None:
        return own + tgt.peer_prefill_tokens
    weight = 0.5 ** (max(0.0, now - tgt.reported_at) / REPORT_HALF_LIFE_S)
    seen = tgt.report.prefill_tokens * weight
    return max(own + tgt.peer_prefill_tokens, seen)


def kv_in_use(tgt: TargetLoad) -> int:
    """Estimates the KV tokens in use: the last report and our work since."""
    if tgt.report is None:
        return tgt.held_tokens
    since = max(0, tgt.held_tokens - tgt.held_at_report)
    return max(tgt.held_tokens, tgt.report.kv_used + since)


def long_kv_in_use(tgt: TargetLoad, short_tokens: int) -> int:
    """Estimates the KV tokens that long work of all entries holds.

    A report tells the tokens and the streams but not whose they are; each
    stream is taken for a short one of `short_tokens`, and what is held beyond
    is long work's.
    """
    if tgt.report is None:
        return tgt.long_tokens
    beyond = tgt.report.kv_used - tgt.report.running * short_tokens
    return max(tgt.long_tokens, beyond)
