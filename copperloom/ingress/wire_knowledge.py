"""Evidence and rate limits in the form in which instances send them."""

import msgspec

from copperloom.decisions import crash_log, target_limits

__all__ = [
    "WireEvidence",
    "WireLimit",
    "WireSpeed",
    "decode_evidence",
    "decode_limit",
    "encode_evidence",
    "encode_limit",
]

_MS = 1000.0


class WireEvidence(msgspec.Struct, array_like=True):
    """Evidence about a request whose targets crashed, as it is sent.

    Attributes:
        digest: Digest of the request.
        crashes: Milliseconds since each crash, by incarnation of the target.
        trials: Milliseconds since each trial, by its name.
        void: Crashes and trials that no longer count, in the same way.
    """

    digest: bytes
    crashes: dict[str, int]
    trials: dict[str, int]
    void: dict[str, int]


class WireLimit(msgspec.Struct, array_like=True):
    """A rate limit that a target names, as it is sent.

    Attributes:
        target: Incarnation of the target.
        per_s: Requests per second; None if it is no longer named.
        revision: Number of changes.
    """

    target: str
    per_s: float | None
    revision: int


class WireSpeed(msgspec.Struct, array_like=True):
    """An observation of a target's speed, as it is sent.

    Attributes:
        target: Incarnation of the target.
        kind: The service and the kind of request.
        value: Logarithm of the observed time over the expected one.
    """

    target: str
    kind: str
    value: float


def encode_evidence(
    digest: bytes, evidence: crash_log.Evidence, now: float
) -> WireEvidence:
    """Encodes evidence with times relative to now."""
    return WireEvidence(
        digest,
        _ages_ms(evidence.crashes, now),
        _ages_ms(evidence.trials, now),
        _ages_ms(evidence.void, now),
    )


def decode_evidence(wire: WireEvidence, now: float) -> crash_log.Evidence:
    """Decodes a peer's evidence, with times by this instance's clock."""
    return crash_log.Evidence(
        crashes=_times(wire.crashes, now),
        trials=_times(wire.trials, now),
        void=_times(wire.void, now),
    )


def _ages_ms(times: dict[str, float], now: float) -> dict[str, int]:
    return {name: int((now - at) * _MS) for name, at in times.items()}


def _times(ages_ms: dict[str, int], now: float) -> dict[str, float]:
    return {name: now - age / _MS for name, age in ages_ms.items()}


def encode_limit(target: str, report: target_limits.Report) -> WireLimit:
    """Encodes the limit of a target."""
    return WireLimit(target, report.per_s, report.revision)


def decode_limit(wire: WireLimit) -> target_limits.Report:
    """Decodes a limit as a peer reports it."""
    return target_limits.Report(wire.per_s, wire.revision)
