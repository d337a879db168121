"""Invariants of a scheduler under any order of events."""

import unittest

import hypothesis
from hypothesis import strategies as st

from copperloom import configuration, messages
from copperloom.decisions import policies, scheduler
from copperloom.decisions.tests import callers, world

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "offer",
                "offer",
                "offer",
                "dispatch",
                "first_token",
                "end",
                "fail",
                "requeue",
                "forget",
                "drain",
                "wait",
            ]
        ),
        st.integers(0, 10_000),
    ),
    max_size=120,
)
TOKENS = (600, 9_000, 120_000, 350_000, 900_000, 6_000_000)


class Model:
    """A scheduler, and the state of each request according to its decisions."""

    def __init__(self, policy, disable):
        self.now = 0.0
        self.cfg = world.make_configuration(6)
        self.sched = scheduler.Scheduler(policy=policy, disable=disable)
        scheduler.set_configuration(self.sched, self.cfg, 0.0)
        self.queued: dict[str, messages.Request] = {}
        self.placed: list[messages.Placement] = []
        self.ended: set[str] = set()
        self.draining: frozenset[str] = frozenset()

    def offer(self, number):
        tokens = TOKENS[number % len(TOKENS)]
        name = f"r{len(self.queued) + len(self.placed) + len(self.ended)}"
        org = f"o{number % 3}"
        req = callers.make_request(
            name,
            org,
            tokens,
            100,
            self.now,
            1.0 + number % 40,
            f"p{number % 5}",
        )
        refusal = scheduler.offer(self.sched, req, self.now)
        if refusal is None:
            self.queued[name] = req
        else:
            self.record_refusal(refusal)

    def record_refusal(self, refusal):
        name = refusal.request.id
        assert name not in self.ended
        assert refusal.retry_after_s > 0 or "TooLarge" in refusal.error
        self.queued.pop(name, None)
        self.ended.add(name)

    def dispatch(self, number=0):
        for decision in scheduler.dispatch(self.sched, self.now):
            assert decision.request.id in self.queued
            if isinstance(decision, messages.Refusal):
                self.record_refusal(decision)
                continue
            del self.queued[decision.request.id]
            assert not self.draining & set(decision.targets)
            assert sum(decision.tokens) == (
                decision.request.prompt_tokens + decision.request.max_tokens
            )
            self.placed.append(decision)

    def first_token(self, number):
        if self.placed:
            placement = self.placed[number % len(self.placed)]
            scheduler.record_first_token(
                self.sched, placement, self.now, sent=self.now
            )

    def end(self, number):
        if self.placed:
            placement = self.placed.pop(number % len(self.placed))
            self.ended.add(placement.request.id)
            for _ in range(2):
                ok = number % 2 == 0
                scheduler.record_completion(
                    self.sched, placement, self.now, ok=ok
                )

    def fail(self, number):
        scheduler.record_target_failure(self.sched, f"e{number % 6}", self.now)

    def requeue(self, number):
        if not self.placed:
            return
        placement = self.placed.pop(number % len(self.placed))
        refusal = scheduler.requeue(
            self.sched, placement, self.now, avoid=placement.targets[0]
        )
        if refusal is None:
            self.queued[placement.request.id] = placement.request
        else:
            self.record_refusal(refusal)

    def forget(self, number):
        if self.queued:
            name = sorted(self.queued)[number % len(self.queued)]
            scheduler.cancel(self.sched, self.queued.pop(name))
            self.ended.add(name)

    def drain(self, number):
        self.draining = frozenset(f"e{i}" for i in range(6) if number >> i & 1)
        scheduler.set_draining(self.sched, self.draining, self.now)

    def wait(self, number):
        self.now += number / 1_000


class InvariantTest(unittest.TestCase):
    @hypothesis.given(
        STEPS,
        st.sampled_from(policies.POLICIES),
        st.frozensets(st.sampled_from(sorted(policies.MECHANISMS)), max_size=2),
    )
    @hypothesis.settings(max_examples=150)
    def test_each_request_ends_once_and_counts_return_to_zero(
        self, steps, policy, disable
    ):
        """No request may be lost or counted twice under any mix of events.

        All deadlines pass and all work ends before the check.
        """
        model = Model(policy, disable)
        for name, number in steps:
            getattr(model, name)(number)
        while model.placed:
            model.end(0)
        model.now += 100.0
        model.dispatch()
        while model.placed:
            model.end(0)
        self.assertEqual(model.queued, {})
        self.assertIsNone(scheduler.next_wake(model.sched, model.now))
        self.assertEqual(scheduler.backlog(model.sched), {})
        self.assertEqual(model.sched.inflight, {})
        self.assertEqual(model.sched.avoid, {})
        for tgt in model.sched.targets.values():
            counts = (tgt.streams, tgt.prefill_tokens, tgt.held_tokens)
            self.assertEqual(counts, (0, 0, 0))
            counts = (tgt.long_streams, tgt.long_tokens)
            self.assertEqual(counts, (0, 0))
            self.assertEqual(tgt.long_prefill_tokens, 0)

    def test_queued_work_is_not_placed_on_a_draining_target(self):
        """A target may start to drain after the work was queued."""
        model = Model("copperloom", frozenset())
        model.offer(1)
        model.drain(0b111110)
        model.dispatch()
        self.assertEqual(model.placed[0].targets, ("e0",))
        model.offer(1)
        model.drain(0b111111)
        model.dispatch()
        self.assertEqual(len(model.ended), 1)

    def test_refusal_names_its_reason(self):
        model = Model("copperloom", frozenset())
        cases = [
            (6_000_000, "PromptTooLargeError"),
        ]
        for tokens, error in cases:
            req = callers.make_request("r", "o", tokens, 1, 0.0, 10.0)
            refusal = scheduler.offer(model.sched, req, 0.0)
            self.assertEqual(refusal.error, error)
        preset = configuration.Preset("night", admit_long=False)
        cfg = world.make_configuration(6, preset=preset)
        scheduler.set_configuration(model.sched, cfg, 0.0)
        req = callers.make_request("r", "o", 100_000, 1, 0.0, 10.0)
        refusal = scheduler.offer(model.sched, req, 0.0)
        self.assertEqual(refusal.error, "CapacityExceededError")

    def test_retry_budget_bounds_retries(self):
        """Retries must not multiply the load while all targets refuse work."""
        model = Model("copperloom", frozenset())
        retried = 0
        for i in range(100):
            req = callers.make_request(f"r{i}", "o", 600, 1, 0.0, 60.0)
            self.assertIsNone(scheduler.offer(model.sched, req, 0.0))
            for placement in scheduler.dispatch(model.sched, 0.0):
                refusal = scheduler.requeue(
                    model.sched, placement, 0.0, avoid=placement.targets[0]
                )
                retried += refusal is None
        self.assertLessEqual(retried, 20)
