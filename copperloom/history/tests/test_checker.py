"""The checkers accept good histories and find every planted fault."""

import copy
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from copperloom import history
from copperloom.history import Outcome

_ENTRIES = ("e0", "e1", "e2")
_ENDS = (Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.MAY_HAVE_RUN)
_LIMIT_S = 10.0
_END_S = 100.0


@strategies.composite
def good_histories(draw) -> history.History:
    """A history as a faultless system would leave it."""
    out = history.History()
    size = draw(strategies.integers(1, 12))
    for number in range(1, size + 1):
        _add_call(out, draw, number)
    version = 1
    for step in range(draw(strategies.integers(1, 8))):
        version += draw(strategies.integers(0, 1))
        entry = draw(strategies.sampled_from(_ENTRIES))
        out.reads.append(_read(entry, version, float(step)))
    # A change that all were seen to serve soon after.
    out.accepted.append(history.Accepted(version + 1, "anna", 20.0))
    out.reads += [_read(entry, version + 1, 33.0) for entry in _ENTRIES]
    out.leaving.append(history.Leaving("g1", 40.0))
    out.memory.append(history.Memory("g0", 0, 0, _END_S))
    out.stops.append(history.PlannedStop("e0", 50.0, 60.0))
    return out


def _add_call(out, draw, number) -> None:
    entry = draw(strategies.sampled_from(_ENTRIES))
    start = draw(strategies.floats(0, 60, allow_nan=False))
    keyed = draw(strategies.booleans())
    end = draw(strategies.sampled_from(_ENDS))
    text = f"answer {number}"
    call = history.Call(
        f"{entry}.b1.{number}",
        entry,
        "org",
        f"k{number}" if keyed else "",
        repeatable=not keyed,
        invoked=start,
        returned=start + draw(strategies.floats(0, _LIMIT_S)),
        limit_s=_LIMIT_S,
        outcome=end,
        text=text if end is Outcome.ANSWERED else "",
        expected=text,
    )
    out.calls.append(call)
    if end is not Outcome.NOT_RUN:
        target = "g1" if start < 40 else "g0"
        run = history.TargetRun(target, call.request, "org", call.key, start)
        out.runs.append(run)


def _read(entry: str, version: int, time: float) -> history.ConfigurationRead:
    preset = f"preset {version}"
    return history.ConfigurationRead(entry, "b1", version, preset, time)


def _spoil(out: history.History, index: int, **changes) -> None:
    call = out.calls[index % len(out.calls)]
    out.calls[out.calls.index(call)] = dataclasses.replace(call, **changes)


def _late(out, index):
    call = out.calls[index % len(out.calls)]
    _spoil(out, index, returned=call.invoked + _LIMIT_S + 1.5)


def _no_outcome(out, index):
    _spoil(out, index, outcome=Outcome.NONE)


def _cut(out, index):
    _spoil(out, index, outcome=Outcome.CUT)


def _short_answer(out, index):
    _spoil(out, index, outcome=Outcome.ANSWERED, text="answ")


def _crossed_piece(out, index):
    _spoil(out, index, outcome=Outcome.MAY_HAVE_RUN, text="other")


def _ran_after_all(out, index):
    _spoil(out, index, outcome=Outcome.NOT_RUN, text="")
    call = out.calls[index % len(out.calls)]
    run = history.TargetRun("g0", f"{call.request}-2.1", "org", "", 99.0)
    out.runs.append(run)


def _doubled(out, index):
    _spoil(out, index, key="dear", repeatable=False)
    for entry in ("e0", "e1"):
        run = history.TargetRun("g0", f"{entry}.b9.9", "org", "dear", 1.0)
        out.runs.append(run)


def _ran_again(out, index):
    _spoil(out, index, repeatable=False, outcome=Outcome.MAY_HAVE_RUN, text="")
    request = out.calls[index % len(out.calls)].request
    for target in ("g0", "g2"):
        run = history.TargetRun(target, request, "org", "", 1.0)
        out.runs.append(run)


def _fell(out, index):
    out.reads.append(_read(_ENTRIES[index % 3], 1, 34.0))


def _fell_at_boot(out, index):
    read = _read(_ENTRIES[index % 3], 1, 34.0)
    out.reads.append(dataclasses.replace(read, boot="b2"))


def _two_presets(out, index):
    read = out.reads[index % len(out.reads)]
    other = dataclasses.replace(read, entry="e9", preset="another")
    out.reads.append(other)


def _two_winners(out, index):
    out.accepted.append(dataclasses.replace(out.accepted[0], operator="jan"))


def _not_in_force(out, index):
    out.reads.append(_read("e9", 1, 33.0))


def _work_for_leaving(out, index):
    run = history.TargetRun("g1", "e0.b1.99", "org", "", 45.5)
    out.runs.append(run)


def _stop_cut(out, index):
    _spoil(
        out,
        index,
        entry="e0",
        invoked=49.0,
        returned=55.0,
        outcome=Outcome.CUT,
        text="",
    )


def _memory_lost(out, index):
    out.memory.append(history.Memory("g0", 1, 0, _END_S + 1))


_FAULTS = {
    _late: "outcome",
    _no_outcome: "outcome",
    _cut: "outcome",
    _short_answer: "whole answer",
    _crossed_piece: "whole answer",
    _ran_after_all: "not run",
    _doubled: "at most once",
    _ran_again: "at most once",
    _fell: "never reverts",
    _fell_at_boot: "never reverts",
    _two_presets: "one preset",
    _two_winners: "one preset",
    _not_in_force: "in force",
    _work_for_leaving: "leaving",
    _stop_cut: "planned stop",
    _memory_lost: "memory",
}


def _example() -> history.History:
    out = history.History()
    call = history.Call(
        "e1.b1.1", "e1", "org", "", True, 1.0, 2.0, _LIMIT_S, Outcome.ANSWERED
    )
    out.calls.append(call)
    out.reads += [_read(entry, 2, 33.0) for entry in _ENTRIES]
    out.accepted.append(history.Accepted(2, "anna", 20.0))
    out.leaving.append(history.Leaving("g1", 40.0))
    out.stops.append(history.PlannedStop("e0", 50.0, 60.0))
    return out


def _finds(one, base: history.History, plant) -> bool:
    spoilt = copy.deepcopy(base)
    plant(spoilt, 0)
    return bool(list(one(spoilt)))


class CheckerTest(unittest.TestCase):
    @hypothesis.given(good_histories())
    def test_accepts_good(self, good):
        self.assertEqual(history.check(good), [])

    @hypothesis.given(
        good_histories(),
        strategies.sampled_from(sorted(_FAULTS, key=lambda f: f.__name__)),
        strategies.integers(0, 99),
    )
    @hypothesis.settings(max_examples=300)
    def test_finds_one_planted_fault(self, good, plant, index):
        plant(good, index)
        found = {violation.promise for violation in history.check(good)}
        self.assertIn(_FAULTS[plant], found)

    def test_every_check_finds_something(self):
        """Each check alone finds a fault that is planted for it."""
        base = _example()
        self.assertEqual(history.check(base), [])
        for one in history.checker.CHECKS:
            found = [p for p in _FAULTS if _finds(one, base, p)]
            self.assertTrue(found, one.__name__)

    def test_cut_by_a_kill_is_no_violation(self):
        out = history.History()
        call = history.Call(
            "e0.b1.1", "e0", "org", "", True, 1.0, 2.0, 9.0, Outcome.CUT
        )
        out.calls.append(call)
        out.faults.append(history.Fault("e0", 1.5, 3.0))
        self.assertEqual(history.check(out), [])
        out.faults[0] = history.Fault("e1", 1.5, 3.0)
        self.assertEqual(len(history.check(out)), 1)


if __name__ == "__main__":
    unittest.main()
