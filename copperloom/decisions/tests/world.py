"""Simulated instances with a scheduler each, in front of fake engines."""

import dataclasses
import math

from copperloom import configuration, messages
from copperloom.decisions import reservation, scheduler
from copperloom.decisions.tests import callers, engines
from copperloom.targets.interface import LoadReport

REPORT_INTERVAL_S = 0.5
EXCHANGE_INTERVAL_S = 0.5
STREAMS_INTERVAL_S = 1.0
OWNER_DELAY_S = 0.003
RESERVATION_TTL_S = 10.0
KV_TOKENS = 400_000


def make_configuration(count, *, preset=None, organisations=(), kv=KV_TOKENS):
    targets = {
        f"e{i}": configuration.Target(
            f"e{i}", "127.0.0.1:1", serves=("m",), kv_tokens=kv
        )
        for i in range(count)
    }
    return configuration.Configuration(
        1,
        organisations={o.name: o for o in organisations},
        targets=targets,
        preset=preset or configuration.Preset("day"),
    )


class World:
    """Instances, engines, the owners' reservations, reports and digests."""

    def __init__(
        self,
        *,
        count=15,
        entries=1,
        seed=0,
        policy="copperloom",
        disable=frozenset(),
        preset=None,
        organisations=(),
        slow=None,
        report_lag_s=REPORT_INTERVAL_S,
        reports=True,
        kv=KV_TOKENS,
    ):
        self.clock = engines.Clock()
        self.cfg = make_configuration(
            count, preset=preset, organisations=organisations, kv=kv
        )
        slow = slow or {}
        self.engines = {
            name: engines.Engine(self.clock, name, kv, slow.get(name, 1.0))
            for name in self.cfg.targets
        }
        self.book = reservation.Book()
        for name in self.engines:
            share = self.cfg.preset.long_share
            reservation.open_target(
                self.book,
                name,
                kv,
                share,
                RESERVATION_TTL_S,
                -RESERVATION_TTL_S,
            )
            reservation.update_streams(self.book, name, [], 0.0)
        self.scheds = [
            scheduler.Scheduler(seed=seed + i, policy=policy, disable=disable)
            for i in range(entries)
        ]
        self.told = [{} for _ in self.scheds]
        self.wake_at = [math.inf] * entries
        self.outcomes: dict[str, callers.Outcome] = {}
        self.denied = 0
        self.unreachable = 0
        self.lag_s = report_lag_s
        for sched in self.scheds:
            scheduler.set_configuration(sched, self.cfg, 0.0)
        if reports:
            self.clock.at(REPORT_INTERVAL_S, self._report)
        self.clock.at(EXCHANGE_INTERVAL_S, self._exchange)
        self.clock.at(STREAMS_INTERVAL_S, self._list_streams)

    def run(self, requests, until):
        """Sends requests to the instances in turn; returns the outcomes."""
        for i, req in enumerate(requests):
            index = i % len(self.scheds)
            self.clock.at(
                req.arrived, lambda r=req, k=index: self._arrive(r, k)
            )
        self.clock.run(until)
        return list(self.outcomes.values())

    def _arrive(self, req, index):
        self.outcomes[req.id] = callers.Outcome(req)
        refusal = scheduler.offer(self.scheds[index], req, self.clock.now)
        if refusal is not None:
            self._record_refusal(refusal)
        self._dispatch(index)

    def _dispatch(self, index):
        sched = self.scheds[index]
        for decision in scheduler.dispatch(sched, self.clock.now):
            if isinstance(decision, messages.Refusal):
                self._record_refusal(decision)
            else:
                self._start(decision, index)
        self._plan_wake(index)

    def _plan_wake(self, index):
        when = scheduler.next_wake(self.scheds[index], self.clock.now)
        if when is None or when >= self.wake_at[index] - 1e-9:
            return
        self.wake_at[index] = when
        self.clock.at(
            max(when, self.clock.now + 0.01), lambda: self._wake(index)
        )

    def _wake(self, index):
        self.wake_at[index] = math.inf
        self._dispatch(index)

    def _record_refusal(self, refusal):
        self._end(refusal.request, refusal.error, refusal.retry_after_s)

    def _end(self, req, error, retry_after_s=0.0):
        outcome = self.outcomes[req.id]
        outcome.outcomes += 1
        outcome.error = error
        outcome.decided_s = self.clock.now - req.arrived
        outcome.retry_after_s = retry_after_s
        if not error:
            outcome.total_s = outcome.decided_s

    def _start(self, placement, index):
        if not placement.long:
            self._send(placement, index)
            return
        self.clock.at(
            self.clock.now + OWNER_DELAY_S,
            lambda: self._reserve(placement, index),
        )

    def _reserve(self, placement, index):
        req = placement.request
        reserved = []
        for name, tokens in zip(
            placement.targets, placement.tokens, strict=True
        ):
            grant = reservation.reserve(
                self.book,
                name,
                req.id,
                tokens,
                RESERVATION_TTL_S,
                self.clock.now,
            )
            if not grant.granted:
                self.denied += 1
                for other in reserved:
                    reservation.release(self.book, other, [req.id])
                self._requeue(placement, index, name)
                return
            reserved.append(name)
        self._send(placement, index)

    def _requeue(self, placement, index, avoid):
        sched = self.scheds[index]
        now = self.clock.now
        refusal = scheduler.requeue(sched, placement, now, avoid=avoid)
        if refusal is not None:
            self._record_refusal(refusal)
        self.clock.at(now + 0.001, lambda: self._dispatch(index))

    def _send(self, placement, index):
        flight = _Flight(self, placement, index, self.clock.now)
        flight.start()

    def _report(self):
        reports = {n: e.load() for n, e in self.engines.items() if not e.down}
        self.clock.at(
            self.clock.now + self.lag_s, lambda: self._apply_report(reports)
        )
        self.clock.at(self.clock.now + REPORT_INTERVAL_S, self._report)

    def _apply_report(self, reports: dict[str, LoadReport]):
        for sched in self.scheds:
            for name, load in reports.items():
                load = dataclasses.replace(load, age_s=self.lag_s)
                scheduler.record_report(sched, name, load, self.clock.now)

    def _exchange(self):
        now = self.clock.now
        backlogs = [scheduler.backlog(s) for s in self.scheds]
        for i, sched in enumerate(self.scheds):
            loads = {}
            for other in backlogs[:i] + backlogs[i + 1 :]:
                for name, (streams, prefill) in other.items():
                    known = loads.get(name, (0, 0))
                    loads[name] = (known[0] + streams, known[1] + prefill)
            scheduler.set_peer_loads(sched, loads, now)
        self.clock.at(now + EXCHANGE_INTERVAL_S, self._exchange)

    def _list_streams(self):
        for name, engine in self.engines.items():
            reservation.update_streams(
                self.book,
                name,
                engine.streams(),
                self.clock.now,
                short_tokens=17_000,
            )
            for stream in engine.waiting:
                reservation.renew(
                    self.book,
                    name,
                    stream.name,
                    RESERVATION_TTL_S,
                    self.clock.now,
                )
        self.clock.at(self.clock.now + STREAMS_INTERVAL_S, self._list_streams)


class _Flight:
    """A placement at its engines, until its deadline."""

    def __init__(self, world, placement, index, sent):
        self.world = world
        self.placement = placement
        self.index = index
        self.sent = sent
        self.prefilled = 1
        self.ended = False

    def start(self):
        req = self.placement.request
        self.world.clock.at(req.deadline, self._time_out)
        names = self.placement.targets
        for name, tokens in zip(
            names[1:], self.placement.tokens[1:], strict=True
        ):
            if not self._open(name, tokens, tokens, 0, self._part_prefilled):
                return
        if len(names) == 1:
            self._open_lead()

    def _part_prefilled(self):
        self.prefilled += 1
        if self.prefilled == len(self.placement.targets) and not self.ended:
            self._open_lead()

    def _open_lead(self):
        req = self.placement.request
        tokens = self.placement.tokens[0]
        prompt = max(1, tokens - req.max_tokens)
        self._open(
            self.placement.targets[0],
            tokens,
            prompt,
            req.max_tokens,
            self._first,
        )

    def _open(self, name, need, prompt, answer, on_first):
        req = self.placement.request
        stream = engines.Stream(
            req.id,
            need,
            prompt,
            answer,
            self.placement.priority,
            req.prefix,
            on_first,
            self._done,
        )
        if self.world.engines[name].open(stream):
            return True
        self._close()
        self.world.unreachable += 1
        sched = self.world.scheds[self.index]
        scheduler.record_target_failure(sched, name, self.world.clock.now)
        self.world._requeue(self.placement, self.index, name)
        return False

    def _first(self):
        now = self.world.clock.now
        req = self.placement.request
        self.world.outcomes[req.id].first_s = now - req.arrived
        scheduler.record_first_token(
            self.world.scheds[self.index], self.placement, now, sent=self.sent
        )

    def _done(self):
        self._finish("", ok=True)

    def _time_out(self):
        if not self.ended:
            self._finish("TimeLimitPassedError", ok=False)

    def _close(self):
        self.ended = True
        for name in self.placement.targets:
            self.world.engines[name].close(self.placement.request.id)
            reservation.release(
                self.world.book, name, [self.placement.request.id]
            )

    def _finish(self, error, *, ok):
        self._close()
        world = self.world
        scheduler.record_completion(
            world.scheds[self.index], self.placement, world.clock.now, ok=ok
        )
        world._end(self.placement.request, error)
        world._dispatch(self.index)
