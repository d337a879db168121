"""What instances know, in the form in which they send it."""

import math

import msgspec

from copperloom import versions
from copperloom.decisions import (
    cold_start,
    crash_log,
    evacuation,
    removed_targets,
    target_limits,
)

__all__ = [
    "WireCold",
    "WireEvacuation",
    "WireEvidence",
    "WireLimit",
    "WireSpeed",
    "decode_cold",
    "decode_evacuation",
    "decode_evidence",
    "decode_limit",
    "encode_cold",
    "encode_evacuation",
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


class WireEvacuation(msgspec.Struct, array_like=True):
    """What is known about the evacuation of a data centre, as it is sent.

    Attributes:
        data_centre: Name of the data centre.
        version: Number of the version of the operators' row or of its removal.
        active: Whether the data centre is evacuated.
        era: Era of the version; None from an instance that knows no eras.
    """

    data_centre: str
    version: int
    active: bool
    era: int | None = None


class WireCold(msgspec.Struct, array_like=True):
    """A cold target, as it is sent.

    Attributes:
        target: Incarnation of the target.
        left_ms: Milliseconds for which it is still cold; negative until it is
            reached.
        per_s: Requests per second that it bears meanwhile.
        duration_ms: Time for which it is cold after a start, in milliseconds.
        revision: Number of changes.
    """

    target: str
    left_ms: int
    per_s: float
    duration_ms: int
    revision: int


class WireRemoval(msgspec.Struct, array_like=True):
    """A removed target, as it is sent.

    Attributes:
        target: Name of the target.
        born_ms: Its start, in ms since the epoch.
        sequence: Sequence number of its last registration before.
        era: Era of the version in which it was removed.
        version: Number of that version.
        is_back: Whether the target has answered a check since then.
    """

    target: str
    born_ms: int
    sequence: int
    era: int
    version: int
    is_back: bool


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


def encode_evacuation(report: evacuation.Report) -> WireEvacuation:
    """Encodes what is known about a data centre."""
    version = report.version
    return WireEvacuation(
        report.data_centre, version.number, report.active, version.era
    )


def decode_evacuation(wire: WireEvacuation, era: int) -> evacuation.Report:
    """Decodes what a peer knows about a data centre.

    Args:
        wire: What the peer has sent.
        era: Era that is assumed if the peer names none.
    """
    era = era if wire.era is None else wire.era
    version = versions.Version(era, wire.version)
    return evacuation.Report(wire.data_centre, version, wire.active)


def encode_removal(removal: removed_targets.Removal) -> WireRemoval:
    """Encodes what is known of a removed target."""
    return WireRemoval(
        removal.name,
        removal.born_ms,
        removal.sequence,
        removal.version.era,
        removal.version.number,
        removal.is_back,
    )


def decode_removal(wire: WireRemoval) -> removed_targets.Removal:
    """Decodes what a peer knows of a removed target."""
    return removed_targets.Removal(
        wire.target,
        wire.born_ms,
        wire.sequence,
        versions.Version(wire.era, wire.version),
        wire.is_back,
    )


def encode_cold(target: str, report: cold_start.Report) -> WireCold:
    """Encodes what is known of a cold target."""
    left_ms = -1 if math.isinf(report.left_s) else int(report.left_s * _MS)
    return WireCold(
        target,
        left_ms,
        report.start.per_s,
        int(report.start.duration_s * _MS),
        report.revision,
    )


def decode_cold(wire: WireCold) -> cold_start.Report:
    """Decodes what a peer reports of a cold target."""
    left_s = math.inf if wire.left_ms < 0 else wire.left_ms / _MS
    start = cold_start.Start(wire.per_s, wire.duration_ms / _MS)
    return cold_start.Report(left_s, start, wire.revision)
