"""What a history holds. All times are seconds of one monotonic clock.

The processes of a test share a machine, and so its monotonic clock: times
that callers, stand-ins and the test take can be compared.
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
    """How a call ended, as its caller saw it.

    CUT: the connection broke. UNREACHED: there was no connection, so no
    request either. NONE: the caller gave up waiting.
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
    """One call, as its caller saw it.

    Attributes:
        request: Request id that the entry gave ("" if none was seen).
        entry: Instance that it was sent to.
        organisation: Who called.
        key: Idempotency key ("" if none).
        repeatable: Whether it may run more than once.
        invoked: When it was sent.
        returned: When it ended.
        limit_s: Its time limit.
        outcome: How it ended.
        code: Numbered result code, 0 if there was none.
        text: The answer received.
        expected: The answer that is its own.
        retry_after_s: When the caller was told to come back, if at all.
        cancelled: Whether the caller went away on purpose.
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
    """One run of work at a target, by the target's own account.

    Attributes:
        target: Target name.
        stream: Name that the entry gave to the work.
        organisation: For whom, where the target knows.
        key: Idempotency key ("" if none).
        started: When the target took the work.
    """

    target: str
    stream: str
    organisation: str
    key: str
    started: float


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """What an entry said of its configuration.

    Attributes:
        entry: Instance name.
        boot: The run of its process.
        version: Version in force there.
        preset: Preset in force there.
        time: When it was asked.
        serving: Whether it said that it admits work.
    """

    entry: str
    boot: str
    version: int
    preset: str
    time: float
    serving: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change that its operator was told is accepted.

    Attributes:
        version: The version that it made.
        operator: Who made it.
        time: When the operator was told.
    """

    version: int
    operator: str
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A target that was told to leave.

    Attributes:
        target: Target name.
        time: When it was accepted.
        until: When it was admitted again.
    """

    target: str
    time: float
    until: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of an entry, from the signal to the process's end."""

    entry: str
    time: float
    ended: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that may cut callers of one entry off.

    Attributes:
        entry: Instance that was killed, frozen or cut from its callers.
        since: When it began.
        until: When it ended.
    """

    entry: str
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Memory:
    """An engine's own count of memory in use, once all work was over."""

    target: str
    kv_tokens: int
    streams: int
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise: which one, and what shows it."""

    promise: str
    detail: str


@dataclasses.dataclass
class History:
    """Everything that was seen in one run; only ever appended to."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[TargetRun] = dataclasses.field(default_factory=list)
    reads: list[ConfigurationRead] = dataclasses.field(default_factory=list)
    accepted: list[Accepted] = dataclasses.field(default_factory=list)
    leaving: list[Leaving] = dataclasses.field(default_factory=list)
    stops: list[PlannedStop] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    memory: list[Memory] = dataclasses.field(default_factory=list)
