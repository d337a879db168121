"""A fleet large enough to have owners, as running instances."""

import asyncio
import time
import unittest
from unittest import mock

from copperloom.decisions import inflight, inflight_table, members, shards
from copperloom.ingress import gossip, placement_rpc, server
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import target as target_standin

# One more than in a small fleet, and some that may be lost.
_FRONTS = shards.MAX_SMALL_FLEET + 4
_LIMIT_S = 20.0
_AWAY_S = 4.0


async def _start_fleet(case, data_centres=("a",), **changes) -> fixtures.System:
    """Starts a large fleet; returns it once its instances know owners."""
    few = mock.patch.object(shards, "MIN_SHARD_TARGETS", 1)
    few.start()
    case.addCleanup(few.stop)
    system = await fixtures.start_system(case, fronts=0, **changes)
    for number in range(_FRONTS):
        data_centre = data_centres[number % len(data_centres)]
        await system.add_front(data_centre=data_centre)
    await fixtures.until(
        lambda: all(
            server.is_ready(f.entry)
            and f.entry.peers_synced.is_set()
            and len(f.entry.members) == _FRONTS - 1
            for f in system.fronts
        ),
        limit_s=_LIMIT_S,
    )
    await fixtures.until(
        lambda: all(_hears_owners(f.entry) for f in system.fronts),
        limit_s=_LIMIT_S,
    )
    return system


def _hears_owners(entry) -> bool:
    now = asyncio.get_running_loop().time()
    own = entry.settings
    order = placement_rpc.order_of(
        entry, shards.Shard("engines", own.data_centre)
    )
    return all(
        members.is_live(entry.members[name], now)
        for name in order[: shards.OWNERS]
        if name != own.instance
    )


def _order(system: fixtures.System) -> list[str]:
    entry = system.fronts[0].entry
    return placement_rpc.order_of(entry, shards.Shard("engines", "a"))


def _number(system: fixtures.System, name: str) -> int:
    names = [f.entry.settings.instance for f in system.fronts]
    return names.index(name)


def _silence(system: fixtures.System, name: str) -> None:
    """Makes an instance's datagrams vanish, both ways."""
    gossip = system.fronts[_number(system, name)].gossip
    gossip.datagram_received = lambda data, addr: None
    gossip.send = lambda data, address: None
    gossip.state.send = gossip.send


class LargeFleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_owner_places_for_all(self):
        """As many short prompts come at once as all engines have slots.

        Each instance alone takes all engines for idle; some engines would get
        more than they work on at once, and their callers would wait for an
        answer to end.
        """
        system = await _start_fleet(self, engines=4)
        for target in system.targets.values():
            target.pause_s = 0.5
        slots = fixtures.ENGINE["slots"]
        asking = [
            fixtures.call(system, "/chat/x", prompt=5000, number=n % _FRONTS)
            for n in range(4 * slots)
        ]
        # All instances of the test share one loop, so owners answer late, and
        # askers tell late that they have sent what was placed for them.
        with (
            mock.patch.object(placement_rpc, "QUERY_TIMEOUT_S", 2.0),
            mock.patch.object(inflight_table, "PENDING_S", 5.0),
        ):
            answers = await asyncio.gather(*asking)
        self.assertEqual({a.status for a in answers}, {200})
        seen = [len(system.targets[f"engine-{n}"].seen) for n in range(4)]
        self.assertEqual(seen, [slots] * 4)

    async def test_target_that_refuses_all(self):
        """An idle engine refuses whatever comes, and looks best for it.

        Each request is another instance's, which meets the engine for the
        first time. Their owner has to learn from the first few.
        """
        system = await _start_fleet(self, engines=2)
        broken = system.targets["engine-0"]
        broken.always = target_standin.Fault.REFUSE
        answers = [
            await fixtures.call(system, "/chat/x", prompt=5000, number=number)
            for number in range(_FRONTS)
        ]
        self.assertLess(len(broken.seen), 5)
        # The fleet's budget allows an instance less than one repeat here.
        served = sum(a.status == 200 for a in answers)
        self.assertGreater(served, _FRONTS - 5)

    async def test_instances_that_place_alone_choose_differently(self):
        """No owner answers anyone; each places by what it knows itself.

        If all took the first of engines that look alike, all would wait there.
        """
        system = await _start_fleet(self, engines=4)
        for name in _order(system)[: shards.OWNERS]:
            _silence(system, name)
        asking = [
            fixtures.call(system, "/chat/x", prompt=5000, number=n)
            for n in range(_FRONTS)
        ]
        await asyncio.gather(*asking)
        seen = [len(system.targets[f"engine-{n}"].seen) for n in range(4)]
        self.assertLess(max(seen), _FRONTS * 0.7)

    async def test_idle_fleet_tells_owners_only(self):
        """No message goes from all to all: beats to owners, and answers."""
        system = await _start_fleet(self, engines=1)
        await asyncio.sleep(2.0)
        sent = []
        now = asyncio.get_running_loop().time()
        with mock.patch.object(
            gossip.Gossip, "send", lambda self, data, to: sent.append(to)
        ):
            for service in system.fronts:
                gossip.send_digest(service.gossip, now)
        self.assertLessEqual(len(sent), _FRONTS * shards.OWNERS)
        self.assertLessEqual(len(set(sent)), shards.OWNERS)

    async def test_news_need_no_answer(self):
        """A change is passed on to all that were heard of late.

        They may owe nothing and stay silent; taken for dead, they would be
        passed over when the owners die.
        """
        system = await _start_fleet(self, engines=1)
        system.store.put("op", "config", fixtures.routes(6))
        await asyncio.sleep(members.SKIP_AFTER_S + 1.0)
        now = asyncio.get_running_loop().time()
        passed_over = [
            m.instance
            for f in system.fronts
            for m in f.entry.members.values()
            if members.is_skipped(m, now)
        ]
        self.assertEqual(passed_over, [])

    async def test_silent_owner_costs_its_callers_little(self):
        """The first owner freezes while its members ask it.

        A caller gets its answer from a place that the second owner gives; the
        first one is asked again only when it is heard.
        """
        system = await _start_fleet(self, engines=2)
        order = _order(system)
        _silence(system, order[0])
        asker = _number(system, order[-1])
        begun = time.monotonic()
        answer = await fixtures.call(
            system, "/chat/x", prompt=5000, number=asker
        )
        self.assertEqual(answer.status, 200)
        self.assertLess(time.monotonic() - begun, 1.0)
        entry = system.fronts[asker].entry
        suspect = entry.members[order[0]].suspect_until
        self.assertGreater(suspect, asyncio.get_running_loop().time())
        asked = members.owners_to_query(
            order, entry.members, order[-1], asyncio.get_running_loop().time()
        )
        self.assertEqual(asked[0].instance, order[1])

    async def test_all_owners_silent(self):
        """Nobody answers: the request is placed by what is known here."""
        system = await _start_fleet(self, engines=2)
        order = _order(system)
        for name in order[: shards.OWNERS]:
            _silence(system, name)
        asker = _number(system, order[-1])
        answer = await fixtures.call(
            system, "/chat/x", prompt=5000, number=asker
        )
        self.assertEqual(answer.status, 200)

    async def test_next_owner_knows_the_work(self):
        """The first owner dies; the second must not take engines for idle."""
        system = await _start_fleet(self, engines=2)
        for target in system.targets.values():
            target.pause_s = 1.0
        order = _order(system)
        asker = _number(system, order[-1])
        asking = asyncio.ensure_future(
            fixtures.call(system, "/chat/x", prompt=60_000, number=asker)
        )
        await asyncio.sleep(0.3)
        second = system.fronts[_number(system, order[1])].entry
        loads = inflight_table.loads(
            second.inflight, asyncio.get_running_loop().time()
        )
        self.assertEqual(sum(load.requests for load in loads.values()), 1)
        self.assertEqual((await asking).status, 200)

    async def test_change_reaches_all(self):
        """Operators write a change; two of the fleet read it, all obey it."""
        system = await _start_fleet(self, engines=1)
        system.store.put("op", "config", fixtures.routes(6))
        await fixtures.until(
            lambda: all(f.entry.table.version == 6 for f in system.fronts),
            limit_s=2.0,
        )


class TableAwayTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_owners_ask_while_the_table_is_away(self):
        """The table answers nobody for some seconds.

        Each instance took its turn after those that said so, and in the end
        all of a large fleet called it again and again. A change made when it
        is back still reaches all.
        """
        system = await _start_fleet(self)
        before = sum(system.store.calls.values())
        system.store.down = 503
        system.store._wake()
        await asyncio.sleep(_AWAY_S)
        calls = sum(system.store.calls.values()) - before
        self.assertLess(calls, _FRONTS * _AWAY_S)
        system.store.down = None
        system.store.put("op", "config", fixtures.routes(5))
        await fixtures.until(
            lambda: all(f.entry.table.version == 5 for f in system.fronts),
            limit_s=_LIMIT_S,
        )


class TwoDataCentresTest(unittest.IsolatedAsyncioTestCase):
    async def test_idle_instance_asks_a_far_owner(self):
        """Both data centres are one shard, and an instance had no callers.

        The owner stands in the other data centre; the first caller's prompt
        is placed by it all the same, who knows what the others have placed.
        """
        near = mock.patch.object(shards, "has_low_latency", return_value=True)
        near.start()
        self.addCleanup(near.stop)
        system = await _start_fleet(self, ("a", "b"), engines=4)
        entry = system.fronts[0].entry
        order = placement_rpc.order_of(entry, shards.Shard("engines"))
        first = entry.members.get(order[0], entry.settings)
        asker = next(
            n
            for n, f in enumerate(system.fronts)
            if f.entry.settings.data_centre != first.data_centre
        )
        await asyncio.sleep(_AWAY_S)
        await fixtures.call(system, "/chat/x", prompt=5000, number=asker)
        asked = system.fronts[asker].entry.metrics.owner_queries
        self.assertEqual(asked.labels("answered")._value.get(), 1)

    async def test_full_data_centre(self):
        """All engines of a data centre are taken; another's are idle.

        A request that waited for a slot would come late.
        """
        system = await _start_fleet(self, ("a", "b"), engines=1)
        await system.add_target("far", "engines", zone="b")
        await fixtures.until(
            lambda: all("far" in f.entry.targets.entries for f in system.fronts)
        )
        now = asyncio.get_running_loop().time()
        full = [
            inflight.Work("engine-0", 0.1, True, 5000, 0.25, now, decoding=True)
            for _ in range(fixtures.ENGINE["slots"])
        ]
        inflight_table.begin(system.fronts[0].entry.inflight, "q1", full)
        await asyncio.sleep(2.0)
        answer = await fixtures.call(
            system, "/chat/x", prompt=5000, number=_FRONTS - 2
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(system.targets["far"].seen), 1)


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_instance_that_starts_hears_before_it_places(self):
        """An instance starts again while its callers wait at its door.

        Three of four engines are busy with prompts that others have placed.
        The instance asks what is under way before it sends its first request;
        else it takes all four for idle, and its caller waits behind others.
        """
        for _ in range(4):
            system = await fixtures.start_system(self, engines=4, fronts=2)
            now = asyncio.get_running_loop().time()
            busy = [
                inflight.Work(f"engine-{n}", 5.0, True, 60_000, 0.25, now)
                for n in range(3)
            ]
            inflight_table.begin(system.fronts[0].entry.inflight, "q1", busy)
            await asyncio.sleep(0.6)
            await system.add_front()
            answer = await fixtures.call(
                system, "/chat/x", prompt=5000, number=2
            )
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(system.targets["engine-3"].seen), 1)
