"""Checkers of the promises: pure functions of a history.

Each returns the violations of one promise. `check` runs them all.
"""

import collections
from collections.abc import Callable, Iterator

from copperloom.history.recorder import (
    Call,
    History,
    Outcome,
    TargetRun,
    Violation,
)

__all__ = [
    "CHECKS",
    "IN_FORCE_S",
    "LEAVING_S",
    "OUTCOME_GRACE_S",
    "check",
]

# A caller gets its outcome within its limit and a little more: the answer
# that reports a passed limit travels and is read on a busy machine.
OUTCOME_GRACE_S = 1.0
# The letter's bound: a change is in force everywhere within 12 s.
IN_FORCE_S = 12.0
# The brief's "a few seconds" after which a leaving target gets no new work.
LEAVING_S = 5.0


def check(history: History) -> list[Violation]:
    """Returns all broken promises of a history.

    Cost is linear in the history, except for calls times faults.
    """
    return [found for one in CHECKS for found in one(history)]


def one_outcome_in_time(history: History) -> Iterator[Violation]:
    """Each call ended, within its limit, and was cut only by a fault."""
    for call in history.calls:
        if call.cancelled or _faulted(history, call):
            continue
        took_s = call.returned - call.invoked
        if call.outcome is Outcome.NONE:
            yield _violation("outcome", call, "no outcome")
        elif took_s > call.limit_s + OUTCOME_GRACE_S:
            yield _violation("outcome", call, f"took {took_s:.2f} s")
        elif call.outcome is Outcome.CUT:
            yield _violation("outcome", call, "cut without a fault")


def answer_whole_and_own(history: History) -> Iterator[Violation]:
    """An answer that looks complete is the whole answer to its request."""
    for call in history.calls:
        if call.outcome is Outcome.ANSWERED and call.text != call.expected:
            got = f"{call.text[:60]!r} for {call.expected[:60]!r}"
            yield _violation("whole answer", call, got)


def pieces_are_own(history: History) -> Iterator[Violation]:
    """What came of an answer that broke off is the start of its own."""
    for call in history.calls:
        broke = call.outcome is not Outcome.ANSWERED
        if broke and not call.expected.startswith(call.text):
            yield _violation("whole answer", call, f"{call.text[:60]!r}")


def not_run_is_true(history: History) -> Iterator[Violation]:
    """Work whose caller was told "not run" has not run, then or later."""
    ran = collections.defaultdict(list)
    for run in history.runs:
        ran[request_of(run.stream)].append(run)
    for call in history.calls:
        if call.outcome is Outcome.NOT_RUN and ran.get(call.request):
            yield _violation("not run", call, f"{ran[call.request][0]}")


def at_most_once(history: History) -> Iterator[Violation]:
    """Work that is not repeatable ran at most once under its key."""
    keys = {
        (call.organisation, call.key)
        for call in history.calls
        if call.key and not call.repeatable
    }
    runs: dict[str, list[TargetRun]] = collections.defaultdict(list)
    for run in history.runs:
        runs[run.key].append(run)
    for organisation, key in sorted(keys):
        # A plain service does not know for whom it ran something.
        own = [r for r in runs[key] if r.organisation in ("", organisation)]
        if len(own) > 1:
            yield Violation("at most once", f"{organisation}/{key}: {own}")


def request_runs_once(history: History) -> Iterator[Violation]:
    """A request that is not repeatable ran at most once, keyed or not."""
    runs = collections.Counter(request_of(run.stream) for run in history.runs)
    for call in history.calls:
        if not call.repeatable and call.request and runs[call.request] > 1:
            yield _violation("at most once", call, f"{runs[call.request]} runs")


def versions_never_fall(history: History) -> Iterator[Violation]:
    """An entry that serves never goes back to an older version.

    A new boot counts too: what callers met yesterday at this instance must
    not come back.
    """
    newest: dict[str, int] = {}
    for read in sorted(history.reads, key=lambda r: r.time):
        if not read.serving:
            continue
        if read.version < newest.get(read.entry, 0):
            yield Violation("never reverts", f"{read}")
        newest[read.entry] = max(read.version, newest.get(read.entry, 0))


def one_preset(history: History) -> Iterator[Violation]:
    """All entries at one version have the same preset in force."""
    preset: dict[int, str] = {}
    for read in history.reads:
        if read.version and preset.setdefault(read.version, read.preset) != (
            read.preset
        ):
            yield Violation("one preset", f"{read}, not {preset[read.version]}")


def one_change_a_version(history: History) -> Iterator[Violation]:
    """No two operators were told that they made the same version."""
    seen: dict[int, str] = {}
    for change in history.accepted:
        if change.version in seen:
            yield Violation("one preset", f"{change} and {seen}")
        seen[change.version] = change.operator


def in_force_everywhere(history: History) -> Iterator[Violation]:
    """An accepted change is in force wherever work is admitted."""
    for read in history.reads:
        if not read.serving:
            continue
        for change in history.accepted:
            late_s = read.time - change.time
            if late_s > IN_FORCE_S and read.version < change.version:
                yield Violation("in force", f"{read} after {change}")


def leaving_gets_no_work(history: History) -> Iterator[Violation]:
    """A leaving target took no new work after a few seconds."""
    for leaving in history.leaving:
        for run in history.runs:
            late = leaving.time + LEAVING_S < run.started < leaving.until
            if run.target == leaving.target and late:
                after_s = run.started - leaving.time
                yield Violation("leaving", f"{run} {after_s:.1f} s after")


def planned_stop_cuts_nothing(history: History) -> Iterator[Violation]:
    """No call at an entry was cut or lost by its planned stop.

    Calls that come after the process ended find nobody; the balancer has
    been told by then.
    """
    for stop in history.stops:
        for call in history.calls:
            if call.entry != stop.entry or call.cancelled:
                continue
            during = call.invoked < stop.ended and call.returned > stop.time
            bad = call.outcome in (Outcome.CUT, Outcome.NONE)
            if during and bad and not _faulted(history, call):
                yield _violation("planned stop", call, "cut")


def memory_comes_back(history: History) -> Iterator[Violation]:
    """Each engine's last count, with all work over, is zero."""
    last = {}
    for count in sorted(history.memory, key=lambda c: c.time):
        last[count.target] = count
    for count in last.values():
        if count.kv_tokens or count.streams:
            yield Violation("memory", f"{count}")


CHECKS: tuple[Callable[[History], Iterator[Violation]], ...] = (
    one_outcome_in_time,
    answer_whole_and_own,
    pieces_are_own,
    not_run_is_true,
    at_most_once,
    request_runs_once,
    versions_never_fall,
    one_preset,
    one_change_a_version,
    in_force_everywhere,
    leaving_gets_no_work,
    planned_stop_cuts_nothing,
    memory_comes_back,
)


def request_of(stream: str) -> str:
    """Returns the request id in a stream name.

    The name is INSTANCE.BOOT.SEQUENCE, then -ATTEMPT and .PART where there
    are several. Instance names hold no dot.
    """
    instance, boot, rest = (stream.split(".") + ["", ""])[:3]
    return f"{instance}.{boot}.{rest.partition('-')[0]}"


def _faulted(history: History, call: Call) -> bool:
    """Whether a fault at its entry overlaps a call."""
    return any(
        fault.entry == call.entry
        and fault.since <= call.returned
        and fault.until >= call.invoked
        for fault in history.faults
    )


def _violation(promise: str, call: Call, detail: str) -> Violation:
    name = call.request or "unnamed"
    where = f"{name} at {call.entry} key={call.key or '-'}"
    return Violation(promise, f"{where} {call.outcome}: {detail}")
