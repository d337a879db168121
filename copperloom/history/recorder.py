"""Records of a history.

All times are seconds of the monotonic clock. The processes of a test run on
one machine and share its clock, so their times can be compared.
"""

import dataclasses
import enum

__all__ = [
    "Accepted",
    "Call",
    "ConfigurationRead",
    "Fault",
    "History",
    "Leaving",
    "Memory",
    "Outcome",
    "PlannedStop",
    "TargetRun",
    "Violation",
]


class Outcome(enum.StrEnum):
    """Outcome of a call, as its caller saw it.

    Attributes:
        ANSWERED: A complete answer arrived.
        NOT_RUN: The reply was an error that reports that no work ran.
        MAY_HAVE_RUN: The reply was an error that leaves open whether work ran.
        RAN_AND_FAILED: The reply was an error that reports a failed run.
        CUT: The connection was interrupted.
        UNREACHED: No connection was established, so no request was sent.
        NONE: The caller timed out.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN_AND_FAILED = "ran_and_failed"
    CUT = "cut"
    UNREACHED = "unreached"
    NONE = "none"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call, as its caller saw it.

    Attributes:
        request: Request id that the entry returned ("" if none).
        entry: Instance that the call was sent to.
        organisation: Organisation of the caller.
        key: Idempotency key ("" if none).
        repeatable: Whether the work may run more than once.
        invoked: When the call was sent.
        returned: When the call ended.
        limit_s: Time limit of the call, in seconds.
        outcome: Outcome of the call.
        code: Number of the error code; 0 if there was none.
        text: Text of the answer received.
        expected: Text of the correct answer.
        retry_after_s: Delay before a retry that the reply asked for, in
            seconds; None if it named none.
        cancelled: Whether the caller disconnected on purpose.
    """

    request: str
    entry: str
    organisation: str
    key: str
    repeatable: bool
    invoked: float
    returned: float
    limit_s: float
    outcome: Outcome
    code: int = 0
    text: str = ""
    expected: str = ""
    retry_after_s: float | None = None
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRun:
    """A run of work at a target, as the target recorded it.

    Attributes:
        target: Name of the target.
        stream: Name that the entry gave to the work.
        organisation: Organisation of the work; "" if the target does not know
            it.
        key: Idempotency key ("" if none).
        started: When the target accepted the work.
    """

    target: str
    stream: str
    organisation: str
    key: str
    started: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Configuration that an entry reported.

    Attributes:
        entry: Name of the instance.
        boot: Boot id of the entry's process.
        version: Configuration version that is in force at the entry.
        preset: Preset that is in force at the entry.
        time: When the report was requested.
        serving: Whether the entry reported that it admits work.
    """

    entry: str
    boot: str
    version: int
    preset: str
    time: float
    serving: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A configuration change that was confirmed to its operator.

    Attributes:
        version: Configuration version that the change created.
        operator: Operator who made the change.
        time: When the confirmation arrived.
    """

    version: int
    operator: str
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A period in which a target was draining.

    Attributes:
        target: Name of the target.
        time: When the request to drain was accepted.
        until: When the target was admitted again.
    """

    target: str
    time: float
    until: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of an entry.

    Attributes:
        entry: Name of the instance.
        time: When the signal to stop was sent.
        ended: When the process ended.
    """

    entry: str
    time: float
    ended: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that may interrupt calls at an entry.

    Attributes:
        entry: Instance that was killed, frozen or disconnected from callers.
        since: When the fault began.
        until: When the fault ended.
    """

    entry: str
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Memory:
    """Memory in use that an engine reported after all work had ended.

    Attributes:
        target: Name of the engine.
        kv_tokens: KV memory in use, in tokens.
        streams: Number of streams that the engine still runs or holds.
        time: When the report was requested.
    """

    target: str
    kv_tokens: int
    streams: int
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a guarantee.

    Attributes:
        promise: Name of the guarantee.
        detail: Evidence of the violation.
    """

    promise: str
    detail: str


@dataclasses.dataclass
class History:
    """Observations of one run, in lists that only grow.

    Attributes:
        calls: Calls, as their callers saw them.
        runs: Runs of work at the targets.
        reads: Configurations that entries reported.
        accepted: Configuration changes that were confirmed.
        leaving: Periods in which targets were draining.
        stops: Planned stops of entries.
        faults: Injected faults.
        memory: Memory in use that engines reported.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[TargetRun] = dataclasses.field(default_factory=list)
    reads: list[ConfigurationRead] = dataclasses.field(default_factory=list)
    accepted: list[Accepted] = dataclasses.field(default_factory=list)
    leaving: list[Leaving] = dataclasses.field(default_factory=list)
    stops: list[PlannedStop] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    memory: list[Memory] = dataclasses.field(default_factory=list)
