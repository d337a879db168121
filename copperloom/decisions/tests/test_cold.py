"""Admission before anything is known of a fleet's performance."""

import unittest

from copperloom import configuration, messages
from copperloom.decisions import scheduler
from copperloom.targets import interface

_LIMIT_S = 2.5


def cold_scheduler() -> scheduler.Scheduler:
    sched = scheduler.Scheduler()
    targets = [
        configuration.Target(f"g{i}", f"127.0.0.1:{i + 1}", serves=("m",))
        for i in range(4)
    ]
    encoded = tuple(configuration.encode_entity(t) for t in targets)
    change = configuration.Change(1, "n", "o", encoded)
    cfg = configuration.apply(configuration.Configuration(), change)
    scheduler.set_configuration(sched, cfg, 0.0)
    return sched


def request(prompt_tokens: int, max_tokens: int) -> messages.Request:
    return messages.Request(
        id="a.b.1",
        organisation="org",
        weight=1.0,
        deployment="d",
        kind=configuration.TargetKind.ENGINE,
        model="m",
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        arrived=0.0,
        deadline=_LIMIT_S,
        version=1,
    )


def report_memory(sched: scheduler.Scheduler, tokens: int) -> None:
    for name in sched.targets:
        report = interface.LoadReport("b", 0, tokens, 0, 0, 0, 0.0)
        scheduler.record_report(sched, name, report, 0.0)


class MemoryTest(unittest.TestCase):
    def test_reported_memory_below_the_configured_is_used(self):
        """Engines would reject the prompt until its caller times out."""
        sched = cold_scheduler()
        report_memory(sched, 20_000)
        refusal = scheduler.offer(sched, request(300_000, 100), 0.0)
        self.assertEqual(refusal.error, "PromptTooLargeError")

    def test_reported_memory_above_the_configured_is_ignored(self):
        sched = cold_scheduler()
        report_memory(sched, 10_000_000)
        refusal = scheduler.offer(sched, request(5_000_000, 100), 0.0)
        self.assertEqual(refusal.error, "PromptTooLargeError")


class ColdFleetTest(unittest.TestCase):
    def assert_placed(self, req: messages.Request) -> None:
        sched = cold_scheduler()
        self.assertIsNone(scheduler.offer(sched, req, 0.0))
        (decision,) = scheduler.dispatch(sched, 0.0)
        self.assertIsInstance(decision, messages.Placement)

    def test_large_max_tokens_does_not_cause_a_refusal(self):
        """Clients set high limits that few answers reach.

        Taken as the answer's length, they would cause needless refusals.
        """
        self.assert_placed(request(10, 60_000))

    def test_long_prompt_is_placed_without_a_known_prefill_rate(self):
        self.assert_placed(request(300_000, 100))
