"""Tests to which data centres a request may spill over."""

import random
import unittest

from copperloom import routing
from copperloom.decisions import (
    inflight,
    inflight_table,
    members,
    placement_query,
    registry,
    shards,
)
from copperloom.ingress import local_placement, state
from copperloom.ingress.tests import fixtures
from copperloom.versions import Version

_NOW = 100.0


def _busy_state() -> state.IngressState:
    """Returns an instance whose shard is full, while b and c are idle."""
    own = state.IngressState(fixtures.own_settings("127.0.0.2", "127.0.0.1:9"))
    own.rng = random.Random(1)
    entries = [
        routing.TargetEntry(f"t-{dc}-{n}", "s", "127.0.0.1:1", dc, 1)
        for dc in "abc"
        for n in range(shards.MIN_SHARD_TARGETS)
    ]
    registry.update(
        own.targets, [(e.name, e) for e in entries], Version(0, 1), _NOW
    )
    for entry in entries:
        work = inflight.Work(entry.name, 0.1, True, 1, 0.0, _NOW)
        inflight_table.begin(own.inflight, entry.name, [work])
    for name in "bc":
        member = members.Member(name, f"{name}:1", "", _NOW, _NOW)
        member.data_centre, member.busy, member.busy_at = name, {"s": 0.0}, _NOW
        own.members[name] = member
    return own


def _remotes(own: state.IngressState, data_centres) -> set[str]:
    query = placement_query.Query(
        "q", shards.Shard("s", "a"), "a", data_centres=data_centres
    )
    decisions = [local_placement.decide(own, query, _NOW) for _ in range(20)]
    return {d.remote.data_centre for d in decisions if d.remote}


class SpillPlacesTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_spills_to_allowed_data_centres_only(self):
        """Guards against a spill-over out of the allowed regions."""
        own = _busy_state()
        self.assertEqual(_remotes(own, None), {"b", "c"})
        self.assertEqual(_remotes(own, frozenset("ac")), {"c"})
        self.assertEqual(_remotes(own, frozenset("a")), set())

    async def test_request_does_not_spill_to_an_evacuated_data_centre(self):
        """Guards against reports of the time before the evacuation."""
        own = _busy_state()
        registry.set_evacuated(own.targets, frozenset("b"))
        self.assertEqual(_remotes(own, None), {"c"})
