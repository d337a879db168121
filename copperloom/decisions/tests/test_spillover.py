"""Spill-over of requests from a busy data centre."""

import random
import unittest

from copperloom.decisions import choice, inflight, plans, spillover
from copperloom.decisions.tests import emulator, sheets

_PROMPT = plans.Prompt(5000, 800, 0.3, 0.25)
_MEETS_OBJECTIVE = plans.Plan("e0", (), 0.03, 0.1, 0.1)
_MISSES_OBJECTIVE = plans.Plan("e0", (), 0.03, 0.5, 0.9)


def _shards(*busy: float) -> list[spillover.RemoteShard]:
    return [
        spillover.RemoteShard(f"dc-{n}", f"i{n}", f"10.0.0.{n}:1", b)
        for n, b in enumerate(busy)
    ]


def _choose_remote(chosen, busy, *others):
    rng = random.Random(1)
    return spillover.choose_remote(chosen, _PROMPT, busy, _shards(*others), rng)


class ChooseRemoteTest(unittest.TestCase):
    def test_request_stays_while_there_is_capacity(self):
        self.assertIsNone(_choose_remote(_MEETS_OBJECTIVE, 0.5, 0.0, 0.0))

    def test_request_spills_over_before_the_shard_is_full(self):
        self.assertIsNotNone(_choose_remote(_MEETS_OBJECTIVE, 0.9, 0.1, 0.1))

    def test_request_spills_over_if_it_would_be_late_or_refused(self):
        self.assertIsNotNone(_choose_remote(_MISSES_OBJECTIVE, 0.7, 0.1))
        self.assertIsNotNone(_choose_remote(None, 1.0, 0.7))
        self.assertIsNotNone(
            _choose_remote(plans.Refusal(_MISSES_OBJECTIVE), 0.7, 0.1)
        )

    def test_request_stays_if_no_shard_is_less_busy(self):
        """Requests forwarded among full data centres would only lose time."""
        self.assertIsNone(_choose_remote(None, 1.0, 0.95, 0.9))
        self.assertIsNone(_choose_remote(None, 1.0))

    def test_utilisation_includes_slots_and_prefills(self):
        prefill = inflight.Prefill(0.0, 0.5, 1.0, 1.0, False, None)
        load = inflight.TargetLoad(requests=2, prefills=(prefill,))
        idle = plans.Candidate("a", inflight.TargetLoad(), 0.0, 4)
        busy = plans.Candidate("b", load, 0.0, 4)
        self.assertAlmostEqual(spillover.utilisation([idle, busy]), 0.5)
        self.assertEqual(spillover.utilisation([]), 1.0)


_ENGINES = 10
_SHARDS = 3
# Share of the requests that arrive in one of the data centres.
_CROWDED_SHARE = 0.6
# Share of the load that is played; the fleet is a part of the original one.
_LOAD_SHARE = 0.24


class _Placer:
    """Places in the caller's data centre or, if allowed, in a remote one."""

    def __init__(self, sheet, *, may_spill: bool):
        self.sheet = sheet
        self.rng = random.Random(7)
        self.may_spill = may_spill
        self.placed = 0
        self.busy = [0.0] * _SHARDS

    def __call__(self, prompt, candidates):
        by_shard = [
            candidates[n * _ENGINES : (n + 1) * _ENGINES]
            for n in range(_SHARDS)
        ]
        if self.placed % 20 == 0:
            # Utilisation of remote data centres is known with a delay.
            self.busy = [spillover.utilisation(c) for c in by_shard]
        self.placed += 1
        crowded = self.rng.random() < _CROWDED_SHARE
        home = 0 if crowded else self.rng.randrange(1, _SHARDS)
        local = choice.choose(self.sheet.spec, prompt, by_shard[home])
        if not self.may_spill:
            return local
        others = [
            spillover.RemoteShard(str(n), "", "", self.busy[n])
            for n in range(_SHARDS)
            if n != home
        ]
        busy = spillover.utilisation(by_shard[home])
        chosen = spillover.choose_remote(local, prompt, busy, others, self.rng)
        if chosen is None:
            return local
        remote = choice.choose(
            self.sheet.spec, prompt, by_shard[int(chosen.data_centre)]
        )
        return remote if isinstance(remote, plans.Plan) else local


def _short_worth_share(sheet, load, place) -> float:
    served = emulator.play(sheet.spec, _ENGINES * _SHARDS, load, place)
    return sheets.worth_share(sheet, served)["short"]


class CrowdedDataCentreTest(unittest.TestCase):
    def test_short_prompts_gain_from_idle_data_centres(self):
        """Requests must not wait for slots while other data centres are idle.

        Spill-over must yield at least half the gain of one pool of all engines.
        """
        sheet = sheets.SHEETS["wroclaw-large"]
        local_only = spilling = pooled = 0.0
        for seed in range(1, 5):
            rng = random.Random(seed)
            load = sheets.arrivals(sheet, rng, 12.0, 2.0)
            load = [a for a in load if rng.random() < _LOAD_SHARE]
            local_only += _short_worth_share(
                sheet, load, _Placer(sheet, may_spill=False)
            )
            spilling += _short_worth_share(
                sheet, load, _Placer(sheet, may_spill=True)
            )
            place = emulator.place_by_cost(sheet.spec)
            pooled += _short_worth_share(sheet, load, place)
        self.assertLess(local_only, pooled)
        self.assertGreater(spilling - local_only, (pooled - local_only) / 2)
