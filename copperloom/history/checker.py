"""Checkers of guarantees over a history.

Each checker is a pure function that yields the violations of one guarantee.
`check` runs all of them.
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
    "DRAIN_GRACE_S",
    "MAX_PROPAGATION_S",
    "OUTCOME_GRACE_S",
    "check",
]

# Allowance beyond a call's time limit for the reply that reports the timeout to
# reach the caller, also on a busy machine.
OUTCOME_GRACE_S = 1.0
# Time within which all entries must serve an accepted configuration change.
MAX_PROPAGATION_S = 12.0
# Time after which a draining target must get no new work.
DRAIN_GRACE_S = 5.0


def check(history: History) -> list[Violation]:
    """Returns all violations of the guarantees in a history.

    The running time is linear in the size of the history, except for a few
    products, such as calls times faults.
    """
    return [violation for checker in CHECKS for violation in checker(history)]


def calls_end_within_limit(history: History) -> Iterator[Violation]:
    """Yields calls that ended late or never, or were cut without a fault."""
    for call in history.calls:
        if call.cancelled or _overlaps_fault(history, call):
            continue
        duration_s = call.returned - call.invoked
        if call.outcome is Outcome.NONE:
            yield _violation("outcome", call, "no outcome")
        elif duration_s > call.limit_s + OUTCOME_GRACE_S:
            yield _violation("outcome", call, f"took {duration_s:.2f} s")
        elif call.outcome is Outcome.CUT:
            yield _violation("outcome", call, "cut without a fault")


def answers_are_as_expected(history: History) -> Iterator[Violation]:
    """Yields complete answers that differ from the expected answer."""
    for call in history.calls:
        if call.outcome is Outcome.ANSWERED and call.text != call.expected:
            got = f"{call.text[:60]!r} for {call.expected[:60]!r}"
            yield _violation("whole answer", call, got)


def partial_answers_are_as_expected(history: History) -> Iterator[Violation]:
    """Yields interrupted answers that are not a prefix of the expected one."""
    for call in history.calls:
        interrupted = call.outcome is not Outcome.ANSWERED
        if interrupted and not call.expected.startswith(call.text):
            yield _violation("whole answer", call, f"{call.text[:60]!r}")


def not_run_work_never_runs(history: History) -> Iterator[Violation]:
    """Yields calls reported as not run whose work ran at some time."""
    runs_by_request = collections.defaultdict(list)
    for run in history.runs:
        runs_by_request[request_id_of(run.stream)].append(run)
    for call in history.calls:
        if call.outcome is Outcome.NOT_RUN and runs_by_request.get(
            call.request
        ):
            yield _violation(
                "not run", call, f"{runs_by_request[call.request][0]}"
            )


def keyed_work_runs_once(history: History) -> Iterator[Violation]:
    """Yields idempotency keys under which unrepeatable work ran repeatedly."""
    keys = {
        (call.organisation, call.key)
        for call in history.calls
        if call.key and not call.repeatable
    }
    runs: dict[str, list[TargetRun]] = collections.defaultdict(list)
    for run in history.runs:
        runs[run.key].append(run)
    for organisation, key in sorted(keys):
        # A plain service does not know the organisation of its callers.
        own_runs = [
            record
            for record in runs[key]
            if record.organisation in ("", organisation)
        ]
        if len(own_runs) > 1:
            yield Violation("at most once", f"{organisation}/{key}: {own_runs}")


def requests_run_once(history: History) -> Iterator[Violation]:
    """Yields unrepeatable requests that ran more than once, keyed or not."""
    runs = collections.Counter(
        request_id_of(run.stream) for run in history.runs
    )
    for call in history.calls:
        if not call.repeatable and call.request and runs[call.request] > 1:
            yield _violation("at most once", call, f"{runs[call.request]} runs")


def versions_never_decrease(history: History) -> Iterator[Violation]:
    """Yields entries that went back to an older configuration version.

    A restart of the entry must not bring an older version back either.
    """
    latest: dict[str, int] = {}
    for read in sorted(history.reads, key=lambda record: record.time):
        if not read.serving:
            continue
        if read.version < latest.get(read.entry, 0):
            yield Violation("never reverts", f"{read}")
        latest[read.entry] = max(read.version, latest.get(read.entry, 0))


def versions_have_one_preset(history: History) -> Iterator[Violation]:
    """Yields entries whose preset differs from others at the same version."""
    presets: dict[int, str] = {}
    for read in history.reads:
        if read.version and presets.setdefault(read.version, read.preset) != (
            read.preset
        ):
            yield Violation(
                "one preset", f"{read}, not {presets[read.version]}"
            )


def versions_have_one_change(history: History) -> Iterator[Violation]:
    """Yields versions that were confirmed for more than one change."""
    operators: dict[int, str] = {}
    for change in history.accepted:
        if change.version in operators:
            yield Violation("one preset", f"{change} and {operators}")
        operators[change.version] = change.operator


def accepted_changes_take_effect(history: History) -> Iterator[Violation]:
    """Yields entries that serve an older version after the time limit."""
    for read in history.reads:
        if not read.serving:
            continue
        for change in history.accepted:
            elapsed_s = read.time - change.time
            if elapsed_s > MAX_PROPAGATION_S and read.version < change.version:
                yield Violation("in force", f"{read} after {change}")


def draining_targets_get_no_work(history: History) -> Iterator[Violation]:
    """Yields runs that began at a draining target after the grace period."""
    for drain in history.leaving:
        for run in history.runs:
            overdue = drain.time + DRAIN_GRACE_S < run.started < drain.until
            if run.target == drain.target and overdue:
                after_s = run.started - drain.time
                yield Violation(
                    "leaving", f"{run} {after_s:.1f} s after the drain began"
                )


def planned_stops_cut_no_calls(history: History) -> Iterator[Violation]:
    """Yields calls that were cut or lost by a planned stop of their entry.

    Calls after the end of the process don't count: by then the load balancer
    has been notified.
    """
    for stop in history.stops:
        for call in history.calls:
            if call.entry != stop.entry or call.cancelled:
                continue
            during = call.invoked < stop.ended and call.returned > stop.time
            lost = call.outcome in (Outcome.CUT, Outcome.NONE)
            if during and lost and not _overlaps_fault(history, call):
                yield _violation("planned stop", call, "cut")


def memory_is_released(history: History) -> Iterator[Violation]:
    """Yields engines whose last count still shows memory or streams in use."""
    last_counts = {}
    for count in sorted(history.memory, key=lambda report: report.time):
        last_counts[count.target] = count
    for count in last_counts.values():
        if count.kv_tokens or count.streams:
            yield Violation("memory", f"{count}")


CHECKS: tuple[Callable[[History], Iterator[Violation]], ...] = (
    calls_end_within_limit,
    answers_are_as_expected,
    partial_answers_are_as_expected,
    not_run_work_never_runs,
    keyed_work_runs_once,
    requests_run_once,
    versions_never_decrease,
    versions_have_one_preset,
    versions_have_one_change,
    accepted_changes_take_effect,
    draining_targets_get_no_work,
    planned_stops_cut_no_calls,
    memory_is_released,
)


def request_id_of(stream: str) -> str:
    """Returns the request id that a stream name contains.

    A stream name is INSTANCE.BOOT.SEQUENCE[-ATTEMPT][.PART]. Instance names
    contain no dot.
    """
    instance, boot, sequence = (stream.split(".") + ["", ""])[:3]
    return f"{instance}.{boot}.{sequence.partition('-')[0]}"


def _overlaps_fault(history: History, call: Call) -> bool:
    """Returns whether a fault at the entry of a call overlaps the call."""
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
