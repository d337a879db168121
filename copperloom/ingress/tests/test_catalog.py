"""Routes, targets and members, through trouble with the platform's table."""

import asyncio
import unittest

from copperloom.ingress import server, watchers
from copperloom.ingress.tests import fixtures


class RoutesTest(unittest.IsolatedAsyncioTestCase):
    async def test_change_is_in_force_at_once_and_never_reverts(self):
        system = await fixtures.start_system(self, fronts=2)
        system.store.put("op", "config", fixtures.routes(7))
        entries = [f.entry for f in system.fronts]
        await fixtures.until(
            lambda: all(e.table.version == 7 for e in entries), limit_s=1.0
        )
        system.store.put("op", "config", fixtures.routes(5))
        system.store.put("op", "config", b"\xff not json")
        system.store.put("op", "config", {"version": "nine"})
        system.store.put("op", "config", fixtures.routes(8))
        await fixtures.until(lambda: entries[0].table.version == 8)
        self.assertEqual(entries[0].table.version, 8)

    async def test_removed_key_is_refused(self):
        system = await fixtures.start_system(self, plain=1)
        cut = fixtures.routes(2, tenants=[{"name": "lounge", "api_keys": []}])
        system.store.put("op", "config", cut)
        entry = system.fronts[0].entry
        await fixtures.until(lambda: entry.table.version == 2)
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 401)

    async def test_forgotten_history_is_read_again(self):
        """The table drops its history while a feed waits.

        The feed gets 410; the whole table is read again, and the change made
        in between is there.
        """
        system = await fixtures.start_system(self)
        entry = system.fronts[0].entry
        system.store.forget_history()
        system.store.put("op", "config", fixtures.routes(3))
        await fixtures.until(lambda: entry.table.version == 3)

    async def test_nothing_is_denied_before_routes_are_known(self):
        """An instance starts while the table is away.

        It is not ready, and whoever comes all the same is told to come back:
        it can't say that a route or key does not exist.
        """
        system = await fixtures.start_system(self, fronts=0)
        system.store.down = 503
        await system.add_front()
        self.assertEqual(await fixtures.ready(system), 503)
        answer = await fixtures.call(system, "/nowhere/x")
        self.assertEqual(answer.status, 503)
        self.assertIn("Retry-After", answer.headers)
        system.store.down = None
        entry = system.fronts[0].entry
        await fixtures.until(lambda: server.is_ready(entry))
        self.assertEqual(await fixtures.ready(system), 200)


class TargetsTest(unittest.IsolatedAsyncioTestCase):
    async def test_draining_target_gets_nothing_more(self):
        system = await fixtures.start_system(self, plain=2)
        leaving = system.targets["plain-0"]
        row = leaving.registration("plain", state="draining")
        system.store.put("servers", "plain-0", row)
        entries = system.fronts[0].entry.targets.entries
        await fixtures.until(lambda: entries["plain-0"].draining)
        before = len(leaving.seen)
        for _ in range(8):
            await fixtures.call(system, "/write/x")
        self.assertEqual(len(leaving.seen), before)

    async def test_spoiled_rows_name_no_target(self):
        """Another writer spoils rows; requests go to the sound ones only."""
        system = await fixtures.start_system(self, engines=1, plain=1)
        good = system.targets["plain-0"].registration("plain")
        spoiled = [
            {k: v for k, v in good.items() if k != "address"},
            good | {"address": "127.0.0.1"},
            good | {"address": "name.example:80"},
            good | {"address": 5},
            good | {"state": "asleep"},
            good | {"slots": "many"},
            good | {"slots": 0},
            good | {"service": ["plain"]},
            good | {"service": "unheard-of"},
        ]
        for number, row in enumerate(spoiled):
            system.store.put("servers", f"bad-{number}", row)
        system.store.put("servers", "bad-bytes", b"\x00\xff")
        await system.add_target("plain-9", "plain")
        entry = system.fronts[0].entry
        await fixtures.until(lambda: "plain-9" in entry.targets.entries)
        usable = [
            e.name
            for e in entry.targets.entries.values()
            if e.service in ("plain", "engines")
        ]
        self.assertEqual(sorted(usable), ["engine-0", "plain-0", "plain-9"])

    async def test_same_name_with_a_later_start(self):
        """A target starts again under its name, at another address.

        It knows nothing of before, so what peers had there counts no more; a
        late row of the earlier start changes nothing.
        """
        system = await fixtures.start_system(self, engines=1, plain=1)
        old = system.targets["plain-0"]
        fresh = await system.add_target("plain-0", "plain", born=5)
        entry = system.fronts[0].entry
        name = "plain-0"
        await fixtures.until(
            lambda: entry.targets.entries[name].address == fresh.address
        )
        system.store.put("servers", name, old.registration("plain", born=1))
        await fixtures.call(system, "/write/x")
        self.assertEqual(len(fresh.seen), 1)
        self.assertEqual(old.seen, [])

    async def test_lapsed_registrations_do_not_stop_service(self):
        """The table loses all registrations while it is away.

        Until they are written again, requests go where they went before.
        """
        system = await fixtures.start_system(self, engines=1, plain=1)
        entry = system.fronts[0].entry
        system.store.down = 503
        system.store._wake()
        await fixtures.until(lambda: entry.targets.outage_at > 0)
        for name in list(system.targets):
            system.store.remove("servers", name)
        system.store.down = None
        await fixtures.until(lambda: not entry.targets.entries)
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 200)


class TurnedAwayTest(unittest.IsolatedAsyncioTestCase):
    async def test_peers_pass_changes_on(self):
        """The table turns one instance away and serves the other.

        A target drains and a key goes meanwhile. The instance that is turned
        away hears of both from its peer, well within the time allowed.
        """
        system = await fixtures.start_system(self, fronts=2, plain=1)
        away = system.fronts[1].entry
        # All calls come from one loopback address, so the instance is turned
        # away by an address where nobody answers, and its feed is ended.
        away.store.address = "127.0.0.1:9"
        system.store.forget_history()
        row = system.targets["plain-0"].registration("plain", state="draining")
        system.store.put("servers", "plain-0", row)
        system.store.put("op", "config", fixtures.routes(4))
        await fixtures.until(
            lambda: (
                away.table.version == 4
                and away.targets.entries["plain-0"].draining
            ),
            limit_s=1.9,
        )

    async def test_instance_that_starts_meanwhile_asks_its_seeds(self):
        """One instance runs; another starts while the table is away."""
        system = await fixtures.start_system(self, fronts=1)
        system.store.down = 503
        known = system.fronts[0].entry.settings.peers_listen
        late = await system.add_front(seeds=(known,))
        await fixtures.until(lambda: server.is_ready(late.entry))
        self.assertEqual(late.entry.table.version, 1)
        answer = await fixtures.call(system, "/write/x", number=1)
        self.assertEqual(answer.status, 200)

    async def test_peer_that_does_not_answer_is_not_waited_for(self):
        """All peers that are ahead have links that are full.

        The instance has heard of a change and gets no answer from them; it
        reads the table itself, in time.
        """
        system = await fixtures.start_system(self, fronts=7, plain=1)
        await asyncio.sleep(0.7)
        now = asyncio.get_running_loop().time()
        entries = [f.entry for f in system.fronts]
        late = [e for e in entries if not watchers.is_watcher(e, now)]
        for service in system.fronts:
            service.calls.close()
        system.store.put("op", "config", fixtures.routes(6))
        await fixtures.until(
            lambda: all(e.table.version == 6 for e in late), limit_s=1.9
        )

    async def test_peers_whose_links_are_full(self):
        """Each instance's link has room for one document in ten seconds.

        Whoever is put off asks others, then the table; all have the change in
        time.
        """
        system = await fixtures.start_system(self, fronts=0, plain=1)
        for _ in range(8):
            await system.add_front(link_bytes_s=100.0)
        entries = [f.entry for f in system.fronts]
        await fixtures.until(
            lambda: (
                all(len(e.members) == 7 for e in entries)
                and all(server.is_ready(e) for e in entries)
            )
        )
        await asyncio.sleep(0.7)
        for entry in entries:
            entry.uplink.free_at = asyncio.get_running_loop().time() + 10.0
        system.store.put("op", "config", fixtures.routes(6))
        await fixtures.until(
            lambda: all(e.table.version == 6 for e in entries), limit_s=1.9
        )

    async def test_change_of_a_target_is_told_alone(self):
        """Of many targets one changes; peers get that row, not all."""
        system = await fixtures.start_system(self, fronts=7, plain=3)
        entries = [f.entry for f in system.fronts]
        await asyncio.sleep(0.7)
        before = [e.channels.bytes_in for e in entries]
        row = system.targets["plain-0"].registration("plain", state="draining")
        system.store.put("servers", "plain-0", row)
        await fixtures.until(
            lambda: all(e.targets.entries["plain-0"].draining for e in entries)
        )
        await asyncio.sleep(0.3)
        got = [
            e.channels.bytes_in - b
            for e, b in zip(entries, before, strict=True)
        ]
        self.assertLess(max(got), 700)


class MembersTest(unittest.IsolatedAsyncioTestCase):
    async def test_members_see_each_others_work(self):
        system = await fixtures.start_system(self, fronts=3, plain=1)
        for target in system.targets.values():
            target.pause_s = 0.5
        task = asyncio.ensure_future(fixtures.call(system, "/read/x"))
        others = [f.entry for f in system.fronts[1:]]
        await fixtures.until(
            lambda: all(
                any(told.work for told in e.inflight.peers.values())
                for e in others
            )
        )
        await task
        await fixtures.until(
            lambda: (
                not any(
                    told.work
                    for e in others
                    for told in e.inflight.peers.values()
                )
            )
        )

    async def test_calls_to_the_table_are_few(self):
        """Nine instances start at once; each makes some calls, then waits."""
        system = await fixtures.start_system(self, fronts=9)
        calls = sum(system.store.calls.values())
        self.assertLessEqual(calls, 9 * 8)
        await asyncio.sleep(1.0)
        waiting = sum(
            watchers.is_watcher(f.entry, asyncio.get_running_loop().time())
            for f in system.fronts
        )
        self.assertEqual(waiting, watchers.WATCHERS)

    async def test_others_take_over_from_readers_that_are_turned_away(self):
        """The table turns all instances away that follow it.

        They say so; others follow in their place, and all hear of a change
        from them within the time allowed.
        """
        system = await fixtures.start_system(self, fronts=7, plain=1)
        await asyncio.sleep(0.7)
        now = asyncio.get_running_loop().time()
        entries = [f.entry for f in system.fronts]
        reading = [e for e in entries if watchers.is_watcher(e, now)]
        self.assertEqual(len(reading), watchers.WATCHERS)
        for entry in reading:
            entry.store.address = "127.0.0.1:9"
        system.store.forget_history()
        await asyncio.sleep(0.2)
        system.store.put("op", "config", fixtures.routes(6))
        await fixtures.until(
            lambda: all(e.table.version == 6 for e in entries), limit_s=1.9
        )
