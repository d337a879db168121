"""Tests that checkers accept valid histories and find injected violations."""

import copy
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from copperloom import history
from copperloom.history import Outcome

_ENTRIES = ("e0", "e1", "e2")
_OUTCOMES = (Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.MAY_HAVE_RUN)
_LIMIT_S = 10.0
_END_S = 100.0


@strategies.composite
def valid_histories(draw) -> history.History:
    """Generates a history without any violation."""
    hist = history.History()
    size = draw(strategies.integers(1, 12))
    for number in range(1, size + 1):
        _add_call(hist, draw, number)
    version = 1
    for step in range(draw(strategies.integers(1, 8))):
        version += draw(strategies.integers(0, 1))
        entry = draw(strategies.sampled_from(_ENTRIES))
        hist.reads.append(_read(entry, version, float(step)))
    # A change that all entries serve within the permitted time.
    hist.accepted.append(history.Accepted(version + 1, "anna", 20.0))
    hist.reads += [_read(entry, version + 1, 33.0) for entry in _ENTRIES]
    hist.leaving.append(history.Leaving("g1", 40.0))
    hist.memory.append(history.Memory("g0", 0, 0, _END_S))
    hist.stops.append(history.PlannedStop("e0", 50.0, 60.0))
    return hist


def _add_call(hist, draw, number) -> None:
    entry = draw(strategies.sampled_from(_ENTRIES))
    start = draw(strategies.floats(0, 60, allow_nan=False))
    has_key = draw(strategies.booleans())
    outcome = draw(strategies.sampled_from(_OUTCOMES))
    text = f"answer {number}"
    call = history.Call(
        f"{entry}.b1.{number}",
        entry,
        "org",
        f"k{number}" if has_key else "",
        repeatable=not has_key,
        invoked=start,
        returned=start + draw(strategies.floats(0, _LIMIT_S)),
        limit_s=_LIMIT_S,
        outcome=outcome,
        text=text if outcome is Outcome.ANSWERED else "",
        expected=text,
    )
    hist.calls.append(call)
    if outcome is not Outcome.NOT_RUN:
        target = "g1" if start < 40 else "g0"
        run = history.TargetRun(target, call.request, "org", call.key, start)
        hist.runs.append(run)


def _read(entry: str, version: int, time: float) -> history.ConfigurationRead:
    preset = f"preset {version}"
    return history.ConfigurationRead(entry, "b1", version, preset, time)


def _replace_call(hist: history.History, index: int, **changes) -> None:
    call = hist.calls[index % len(hist.calls)]
    hist.calls[hist.calls.index(call)] = dataclasses.replace(call, **changes)


def _exceed_limit(hist, index):
    call = hist.calls[index % len(hist.calls)]
    _replace_call(hist, index, returned=call.invoked + _LIMIT_S + 1.5)


def _remove_outcome(hist, index):
    _replace_call(hist, index, outcome=Outcome.NONE)


def _cut_without_fault(hist, index):
    _replace_call(hist, index, outcome=Outcome.CUT)


def _truncate_answer(hist, index):
    _replace_call(hist, index, outcome=Outcome.ANSWERED, text="answ")


def _mix_up_partial_answer(hist, index):
    _replace_call(hist, index, outcome=Outcome.MAY_HAVE_RUN, text="other")


def _run_after_not_run(hist, index):
    _replace_call(hist, index, outcome=Outcome.NOT_RUN, text="")
    call = hist.calls[index % len(hist.calls)]
    run = history.TargetRun("g0", f"{call.request}-2.1", "org", "", 99.0)
    hist.runs.append(run)


def _run_key_twice(hist, index):
    _replace_call(hist, index, key="shared-key", repeatable=False)
    for entry in ("e0", "e1"):
        run = history.TargetRun("g0", f"{entry}.b9.9", "org", "shared-key", 1.0)
        hist.runs.append(run)


def _run_request_twice(hist, index):
    _replace_call(
        hist, index, repeatable=False, outcome=Outcome.MAY_HAVE_RUN, text=""
    )
    request = hist.calls[index % len(hist.calls)].request
    for target in ("g0", "g2"):
        run = history.TargetRun(target, request, "org", "", 1.0)
        hist.runs.append(run)


def _revert_version(hist, index):
    hist.reads.append(_read(_ENTRIES[index % 3], 1, 34.0))


def _revert_version_on_restart(hist, index):
    read = _read(_ENTRIES[index % 3], 1, 34.0)
    hist.reads.append(dataclasses.replace(read, boot="b2"))


def _differ_in_preset(hist, index):
    read = hist.reads[index % len(hist.reads)]
    other = dataclasses.replace(read, entry="e9", preset="another")
    hist.reads.append(other)


def _confirm_version_twice(hist, index):
    hist.accepted.append(dataclasses.replace(hist.accepted[0], operator="jan"))


def _miss_change(hist, index):
    hist.reads.append(_read("e9", 1, 33.0))


def _run_on_draining_target(hist, index):
    run = history.TargetRun("g1", "e0.b1.99", "org", "", 45.5)
    hist.runs.append(run)


def _cut_by_planned_stop(hist, index):
    _replace_call(
        hist,
        index,
        entry="e0",
        invoked=49.0,
        returned=55.0,
        outcome=Outcome.CUT,
        text="",
    )


def _leak_memory(hist, index):
    hist.memory.append(history.Memory("g0", 1, 0, _END_S + 1))


_VIOLATIONS = {
    _exceed_limit: "outcome",
    _remove_outcome: "outcome",
    _cut_without_fault: "outcome",
    _truncate_answer: "whole answer",
    _mix_up_partial_answer: "whole answer",
    _run_after_not_run: "not run",
    _run_key_twice: "at most once",
    _run_request_twice: "at most once",
    _revert_version: "never reverts",
    _revert_version_on_restart: "never reverts",
    _differ_in_preset: "one preset",
    _confirm_version_twice: "one preset",
    _miss_change: "in force",
    _run_on_draining_target: "leaving",
    _cut_by_planned_stop: "planned stop",
    _leak_memory: "memory",
}


def _example_history() -> history.History:
    hist = history.History()
    call = history.Call(
        "e1.b1.1", "e1", "org", "", True, 1.0, 2.0, _LIMIT_S, Outcome.ANSWERED
    )
    hist.calls.append(call)
    hist.reads += [_read(entry, 2, 33.0) for entry in _ENTRIES]
    hist.accepted.append(history.Accepted(2, "anna", 20.0))
    hist.leaving.append(history.Leaving("g1", 40.0))
    hist.stops.append(history.PlannedStop("e0", 50.0, 60.0))
    return hist


def _finds(checker, base: history.History, inject) -> bool:
    modified = copy.deepcopy(base)
    inject(modified, 0)
    return bool(list(checker(modified)))


class CheckerTest(unittest.TestCase):
    @hypothesis.given(valid_histories())
    def test_accepts_valid_histories(self, valid):
        """Guards against violations reported for a correct system."""
        self.assertEqual(history.check(valid), [])

    @hypothesis.given(
        valid_histories(),
        strategies.sampled_from(
            sorted(_VIOLATIONS, key=lambda function: function.__name__)
        ),
        strategies.integers(0, 99),
    )
    @hypothesis.settings(max_examples=300)
    def test_finds_an_injected_violation(self, valid, inject, index):
        """Guards against violations that go undetected."""
        inject(valid, index)
        found = {violation.promise for violation in history.check(valid)}
        self.assertIn(_VIOLATIONS[inject], found)

    def test_every_checker_finds_a_violation(self):
        """Guards against a checker that can never report a violation."""
        base = _example_history()
        self.assertEqual(history.check(base), [])
        for checker in history.checker.CHECKS:
            found = [
                inject
                for inject in _VIOLATIONS
                if _finds(checker, base, inject)
            ]
            self.assertTrue(found, checker.__name__)

    def test_call_cut_by_a_fault_at_its_entry_is_accepted(self):
        """Guards against excusing a cut by a fault at another entry."""
        hist = history.History()
        call = history.Call(
            "e0.b1.1", "e0", "org", "", True, 1.0, 2.0, 9.0, Outcome.CUT
        )
        hist.calls.append(call)
        hist.faults.append(history.Fault("e0", 1.5, 3.0))
        self.assertEqual(history.check(hist), [])
        hist.faults[0] = history.Fault("e1", 1.5, 3.0)
        self.assertEqual(len(history.check(hist)), 1)


if __name__ == "__main__":
    unittest.main()
