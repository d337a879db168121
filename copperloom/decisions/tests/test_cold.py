"""A fleet of which nothing is known yet refuses nothing for a guess."""

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


def say_memory(sched: scheduler.Scheduler, tokens: int) -> None:
    for name in sched.targets:
        report = interface.LoadReport("b", 0, tokens, 0, 0, 0, 0.0)
        scheduler.report(sched, name, report, 0.0)


class MemoryTest(unittest.TestCase):
    def test_engines_smaller_than_configured(self):
        """Operators set more memory than the engines have.

        The engines would refuse the prompt each time it is sent, so its
        caller would wait for its whole time limit to be told nothing new.
        """
        sched = cold_scheduler()
        say_memory(sched, 20_000)
        refusal = scheduler.offer(sched, request(300_000, 100), 0.0)
        self.assertEqual(refusal.error, "PromptTooLargeError")

    def test_engine_can_not_raise_what_operators_set(self):
        sched = cold_scheduler()
        say_memory(sched, 10_000_000)
        refusal = scheduler.offer(sched, request(5_000_000, 100), 0.0)
        self.assertEqual(refusal.error, "PromptTooLargeError")


class ColdTest(unittest.TestCase):
    def placed(self, req: messages.Request) -> None:
        sched = cold_scheduler()
        self.assertIsNone(scheduler.offer(sched, req, 0.0))
        (decision,) = scheduler.dispatch(sched, 0.0)
        self.assertIsInstance(decision, messages.Placement)

    def test_large_bound_of_answer_tokens(self):
        """Clients set max_tokens high; few answers reach it.

        Counting it as the answer's length, an idle fleet refused a question
        of ten tokens for its bound of 60,000 at once.
        """
        self.placed(request(10, 60_000))

    def test_long_prompt(self):
        """How fast these engines take prompts is not known yet."""
        self.placed(request(300_000, 100))
