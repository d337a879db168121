"""Tests placement by shard owners in a large fleet of running instances."""

import asyncio
import time
import unittest
from unittest import mock

from copperloom.decisions import (
    inflight,
    inflight_table,
    members,
    shards,
)
from copperloom.ingress import gossip, placement_rpc
from copperloom.ingress.tests import fixtures, fleets
from copperloom.platform.standins import target as target_standin

_WAIT_S = 4.0


class LargeFleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_owner_spreads_simultaneous_prompts_of_all_instances(self):
        """Instances that place independently would overload some engines."""
        system = await fleets.start_fleet(self, engines=4)
        for target in system.targets.values():
            target.pause_s = 0.5
        slots = fixtures.ENGINE["slots"]
        calling = [
            fixtures.call(
                system, "/chat/x", prompt=5000, number=n % fleets.SIZE
            )
            for n in range(4 * slots)
        ]
        # All instances share one event loop, which delays both the owners'
        # replies and the reports of requests that were sent.
        with (
            mock.patch.object(placement_rpc, "QUERY_TIMEOUT_S", 2.0),
            mock.patch.object(inflight_table, "PENDING_S", 5.0),
        ):
            answers = await asyncio.gather(*calling)
        self.assertEqual({a.status for a in answers}, {200})
        seen = [len(system.targets[f"engine-{n}"].seen) for n in range(4)]
        self.assertEqual(seen, [slots] * 4)

    async def test_owner_avoids_target_that_refuses_all_requests(self):
        """An engine that refuses everything is idle, so it appears best.

        Each request comes from an instance that has not seen it fail yet.
        """
        system = await fleets.start_fleet(self, engines=2)
        refusing = system.targets["engine-0"]
        refusing.always = target_standin.Fault.REFUSE
        answers = [
            await fixtures.call(system, "/chat/x", prompt=5000, number=number)
            for number in range(fleets.SIZE)
        ]
        self.assertLess(len(refusing.seen), 5)
        # The retry budget does not cover a retry for every instance.
        served = sum(a.status == 200 for a in answers)
        self.assertGreater(served, fleets.SIZE - 5)

    async def test_instances_without_owners_choose_different_engines(self):
        """If all chose the first of equal engines, they would overload it."""
        system = await fleets.start_fleet(self, engines=4)
        for name in fleets.ranked_owners(system)[: shards.OWNERS]:
            fleets.silence(system, name)
        calling = [
            fixtures.call(system, "/chat/x", prompt=5000, number=n)
            for n in range(fleets.SIZE)
        ]
        await asyncio.gather(*calling)
        seen = [len(system.targets[f"engine-{n}"].seen) for n in range(4)]
        self.assertLess(max(seen), fleets.SIZE * 0.7)

    async def test_idle_fleet_sends_digests_to_owners_only(self):
        """The number of messages must not grow with the square of the fleet."""
        system = await fleets.start_fleet(self, engines=1)
        await asyncio.sleep(2.0)
        sent = []
        now = asyncio.get_running_loop().time()
        with mock.patch.object(
            gossip.Gossip, "send", lambda self, data, to: sent.append(to)
        ):
            for service in system.fronts:
                gossip.send_digest(service.gossip, now)
        self.assertLessEqual(len(sent), fleets.SIZE * shards.OWNERS)
        self.assertLessEqual(len(set(sent)), shards.OWNERS)

    async def test_silence_after_an_update_is_no_failure(self):
        """Members that need not reply must not be considered dead.

        They would be skipped as successors if the owners fail.
        """
        system = await fleets.start_fleet(self, engines=1)
        system.store.put("op", "config", fixtures.routes(6))
        await asyncio.sleep(members.SKIP_AFTER_S + 1.0)
        now = asyncio.get_running_loop().time()
        skipped = [
            m.instance
            for f in system.fronts
            for m in f.entry.members.values()
            if members.is_skipped(m, now)
        ]
        self.assertEqual(skipped, [])

    async def test_second_owner_places_if_the_first_is_silent(self):
        """A frozen owner must not delay requests, and later ones skip it."""
        system = await fleets.start_fleet(self, engines=2)
        order = fleets.ranked_owners(system)
        fleets.silence(system, order[0])
        sender = fleets.index(system, order[-1])
        started_at = time.monotonic()
        answer = await fixtures.call(
            system, "/chat/x", prompt=5000, number=sender
        )
        self.assertEqual(answer.status, 200)
        self.assertLess(time.monotonic() - started_at, 1.0)
        entry = system.fronts[sender].entry
        suspect_until = entry.members[order[0]].suspect_until
        self.assertGreater(suspect_until, asyncio.get_running_loop().time())
        queried = members.owners_to_query(
            order, entry.members, order[-1], asyncio.get_running_loop().time()
        )
        self.assertEqual(queried[0].instance, order[1])

    async def test_request_is_placed_locally_if_all_owners_are_silent(self):
        system = await fleets.start_fleet(self, engines=2)
        order = fleets.ranked_owners(system)
        for name in order[: shards.OWNERS]:
            fleets.silence(system, name)
        sender = fleets.index(system, order[-1])
        answer = await fixtures.call(
            system, "/chat/x", prompt=5000, number=sender
        )
        self.assertEqual(answer.status, 200)

    async def test_second_owner_knows_the_work_in_progress(self):
        """A new owner must not consider busy engines idle."""
        system = await fleets.start_fleet(self, engines=2)
        for target in system.targets.values():
            target.pause_s = 1.0
        order = fleets.ranked_owners(system)
        sender = fleets.index(system, order[-1])
        calling = asyncio.ensure_future(
            fixtures.call(system, "/chat/x", prompt=60_000, number=sender)
        )
        await asyncio.sleep(0.3)
        successor = system.fronts[fleets.index(system, order[1])].entry
        loads = inflight_table.loads(
            successor.inflight, asyncio.get_running_loop().time()
        )
        self.assertEqual(sum(load.requests for load in loads.values()), 1)
        self.assertEqual((await calling).status, 200)

    async def test_configuration_change_reaches_all_instances(self):
        system = await fleets.start_fleet(self, engines=1)
        system.store.put("op", "config", fixtures.routes(6))
        await fixtures.until(
            lambda: all(f.entry.table.version == 6 for f in system.fronts),
            limit_s=2.0,
        )


class TableOutageTest(unittest.IsolatedAsyncioTestCase):
    async def test_few_instances_call_the_table_service_while_it_is_down(self):
        """An outage must not make the whole fleet call the table service.

        A change made after the outage must still reach all instances.
        """
        system = await fleets.start_fleet(self)
        calls_before = sum(system.store.calls.values())
        system.store.down = 503
        system.store._notify()
        await asyncio.sleep(_WAIT_S)
        calls = sum(system.store.calls.values()) - calls_before
        self.assertLess(calls, fleets.SIZE * _WAIT_S)
        system.store.down = None
        system.store.put("op", "config", fixtures.routes(5))
        await fixtures.until(
            lambda: all(f.entry.table.version == 5 for f in system.fronts),
            limit_s=fleets.START_LIMIT_S,
        )


class TwoDataCentresTest(unittest.IsolatedAsyncioTestCase):
    async def test_idle_instance_queries_owner_in_another_data_centre(self):
        """An instance without recent requests must still reach its owner.

        Without the owner it would place without knowing the others' work.
        """
        low_latency = mock.patch.object(
            shards, "has_low_latency", return_value=True
        )
        low_latency.start()
        self.addCleanup(low_latency.stop)
        system = await fleets.start_fleet(self, ("a", "b"), engines=4)
        entry = system.fronts[0].entry
        order = placement_rpc.owner_order(entry, shards.Shard("engines"))
        owner = entry.members.get(order[0], entry.settings)
        sender = next(
            n
            for n, f in enumerate(system.fronts)
            if f.entry.settings.data_centre != owner.data_centre
        )
        await asyncio.sleep(_WAIT_S)
        await fixtures.call(system, "/chat/x", prompt=5000, number=sender)
        queries = system.fronts[sender].entry.metrics.owner_queries
        self.assertEqual(queries.labels("answered")._value.get(), 1)

    async def test_request_spills_over_from_full_data_centre(self):
        """A request must not wait for a slot while another centre is idle."""
        system = await fleets.start_fleet(self, ("a", "b"), engines=1)
        await system.add_target("far", "engines", zone="b")
        await fixtures.until(
            lambda: all("far" in f.entry.targets.entries for f in system.fronts)
        )
        now = asyncio.get_running_loop().time()
        work = [
            inflight.Work("engine-0", 0.1, True, 5000, 0.25, now, decoding=True)
            for _ in range(fixtures.ENGINE["slots"])
        ]
        inflight_table.begin(system.fronts[0].entry.inflight, "q1", work)
        await asyncio.sleep(2.0)
        answer = await fixtures.call(
            system, "/chat/x", prompt=5000, number=fleets.SIZE - 2
        )
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(system.targets["far"].seen), 1)


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_starting_instance_learns_work_before_it_places(self):
        """A restarted instance must not consider its peers' engines idle."""
        for _ in range(4):
            system = await fixtures.start_system(self, engines=4, fronts=2)
            now = asyncio.get_running_loop().time()
            work = [
                inflight.Work(f"engine-{n}", 5.0, True, 60_000, 0.25, now)
                for n in range(3)
            ]
            inflight_table.begin(system.fronts[0].entry.inflight, "q1", work)
            await asyncio.sleep(0.6)
            await system.add_front()
            answer = await fixtures.call(
                system, "/chat/x", prompt=5000, number=2
            )
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(system.targets["engine-3"].seen), 1)
