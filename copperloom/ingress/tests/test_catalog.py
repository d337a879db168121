"""Tests routes, targets and members under faults of the platform's table."""

import asyncio
import unittest

import msgspec

from copperloom.ingress import server, watchers
from copperloom.ingress.tests import fixtures


class RoutesTest(unittest.IsolatedAsyncioTestCase):
    async def test_change_is_applied_at_once_and_never_reverts(self):
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
        changed = fixtures.routes(
            2, tenants=[{"name": "lounge", "api_keys": []}]
        )
        system.store.put("op", "config", changed)
        entry = system.fronts[0].entry
        await fixtures.until(lambda: entry.table.version == 2)
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 401)

    async def test_forgotten_history_is_read_again(self):
        """Guards against losing a change when the table drops its history.

        The waiting feed gets 410, and the whole table has to be read again.
        """
        system = await fixtures.start_system(self)
        entry = system.fronts[0].entry
        system.store.forget_history()
        system.store.put("op", "config", fixtures.routes(3))
        await fixtures.until(lambda: entry.table.version == 3)

    async def test_nothing_is_denied_before_routes_are_known(self):
        """Guards against 404 or 401 while the table is still unavailable.

        An instance without routes can't know whether a route or key exists.
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
    async def test_draining_target_gets_no_more_requests(self):
        system = await fixtures.start_system(self, plain=2)
        draining = system.targets["plain-0"]
        row = draining.registration("plain", state="draining")
        system.store.put("servers", "plain-0", row)
        entries = system.fronts[0].entry.targets.entries
        await fixtures.until(lambda: entries["plain-0"].draining)
        before = len(draining.seen)
        for _ in range(8):
            await fixtures.call(system, "/write/x")
        self.assertEqual(len(draining.seen), before)

    async def test_invalid_rows_register_no_target(self):
        """Guards against requests to targets whose rows are invalid."""
        system = await fixtures.start_system(self, engines=1, plain=1)
        valid = system.targets["plain-0"].registration("plain")
        invalid = [
            {k: v for k, v in valid.items() if k != "address"},
            valid | {"address": "127.0.0.1"},
            valid | {"address": "name.example:80"},
            valid | {"address": 5},
            valid | {"state": "asleep"},
            valid | {"slots": "many"},
            valid | {"slots": 0},
            valid | {"service": ["plain"]},
            valid | {"service": "unheard-of"},
        ]
        for number, row in enumerate(invalid):
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

    async def test_odd_rows_do_not_stop_an_instance(self):
        """Guards against a row of another writer that ends a loop."""
        system = await fixtures.start_system(self, engines=1, plain=1)
        row = system.targets["plain-0"].registration("plain")
        proper = msgspec.json.encode(row)[:-1]
        values = [
            b"[" * 100_000 + b"]" * 100_000,
            proper + b', "unknown": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
            proper + b', "unknown": ' + b'{"a":' * 100_000 + b"}" * 100_000,
        ]
        for name in ("slots", "seq", "born", "cold_remaining_ms"):
            for number in (b"9" * 400, b"1e999", b"-1e999", b"9" * 5000):
                field = b', "' + name.encode() + b'": ' + number
                values.append(proper + field + b"}")
        for port in ("0", "-1", "65536", "9" * 5000, "8_0", "", "\u0661"):
            address = msgspec.json.encode(f"127.0.0.1:{port}")
            values.append(proper + b', "address": ' + address + b"}")
        for number, value in enumerate(values):
            system.store.put("servers", f"odd-{number}", value)
        await system.add_target("plain-9", "plain")
        entry = system.fronts[0].entry
        await fixtures.until(lambda: "plain-9" in entry.targets.entries)
        answers = [await fixtures.call(system, "/write/x") for _ in range(8)]
        self.assertEqual({a.status for a in answers}, {200})
        ports = {
            int(e.address.rpartition(":")[2])
            for e in entry.targets.entries.values()
        }
        self.assertTrue(all(0 < port < 65_536 for port in ports), ports)
        self.assertEqual((await fixtures.call(system, "/chat/x")).status, 200)

    async def test_restarted_target_replaces_the_earlier_one(self):
        """Guards against a late row that reverts a target's restart.

        The target has started again under its name, at another address.
        """
        system = await fixtures.start_system(self, engines=1, plain=1)
        old = system.targets["plain-0"]
        restarted = await system.add_target("plain-0", "plain", born=5)
        entry = system.fronts[0].entry
        name = "plain-0"
        await fixtures.until(
            lambda: entry.targets.entries[name].address == restarted.address
        )
        system.store.put("servers", name, old.registration("plain", born=1))
        await fixtures.call(system, "/write/x")
        self.assertEqual(len(restarted.seen), 1)
        self.assertEqual(old.seen, [])

    async def test_lapsed_registrations_do_not_stop_service(self):
        """Guards against losing all targets when the table loses its rows.

        Until targets register again, requests go to those known before.
        """
        system = await fixtures.start_system(self, engines=1, plain=1)
        entry = system.fronts[0].entry
        system.store.down = 503
        system.store._notify()
        await fixtures.until(lambda: entry.targets.outage_at > 0)
        for name in list(system.targets):
            system.store.remove("servers", name)
        system.store.down = None
        await fixtures.until(lambda: not entry.targets.entries)
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 200)


class RefusedInstanceTest(unittest.IsolatedAsyncioTestCase):
    async def test_refused_instance_gets_changes_from_its_peer(self):
        """Guards against stale routes and targets if the table refuses one.

        A peer has to send it a drained target and a removed key in time.
        """
        system = await fixtures.start_system(self, fronts=2, plain=1)
        refused = system.fronts[1].entry
        # All instances share a loopback address, so the table can't refuse one:
        # it gets an address that nothing listens on, and its feed is ended.
        refused.store.address = "127.0.0.1:9"
        system.store.forget_history()
        row = system.targets["plain-0"].registration("plain", state="draining")
        system.store.put("servers", "plain-0", row)
        system.store.put("op", "config", fixtures.routes(4))
        await fixtures.until(
            lambda: (
                refused.table.version == 4
                and refused.targets.entries["plain-0"].draining
            ),
            limit_s=1.9,
        )

    async def test_instance_that_starts_in_an_outage_asks_its_seeds(self):
        """Guards against a start that fails while the table is unavailable."""
        system = await fixtures.start_system(self, fronts=1)
        system.store.down = 503
        seed = system.fronts[0].entry.settings.peers_listen
        added = await system.add_front(seeds=(seed,))
        await fixtures.until(lambda: server.is_ready(added.entry))
        self.assertEqual(added.entry.table.version, 1)
        answer = await fixtures.call(system, "/write/x", number=1)
        self.assertEqual(answer.status, 200)

    async def test_table_is_read_if_no_peer_replies(self):
        """Guards against waiting for peers that are ahead but do not reply.

        The instance has to read the table itself within the time allowed.
        """
        system = await fixtures.start_system(self, fronts=7, plain=1)
        await asyncio.sleep(0.7)
        now = asyncio.get_running_loop().time()
        entries = [f.entry for f in system.fronts]
        followers = [e for e in entries if not watchers.is_watcher(e, now)]
        for service in system.fronts:
            service.calls.close()
        system.store.put("op", "config", fixtures.routes(6))
        await fixtures.until(
            lambda: all(e.table.version == 6 for e in followers), limit_s=1.9
        )

    async def test_table_is_read_if_all_links_are_full(self):
        """Guards against late changes when no peer has link capacity.

        Instances that get none from a peer ask others, then read the table.
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

    async def test_only_the_changed_row_is_sent(self):
        """Guards against sending all rows when one target changes."""
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
        received = [
            e.channels.bytes_in - b
            for e, b in zip(entries, before, strict=True)
        ]
        self.assertLess(max(received), 700)


class MembersTest(unittest.IsolatedAsyncioTestCase):
    async def test_members_know_each_others_work(self):
        system = await fixtures.start_system(self, fronts=3, plain=1)
        for target in system.targets.values():
            target.pause_s = 0.5
        task = asyncio.ensure_future(fixtures.call(system, "/read/x"))
        others = [f.entry for f in system.fronts[1:]]
        await fixtures.until(
            lambda: all(
                any(peer.work for peer in e.inflight.peers.values())
                for e in others
            )
        )
        await task
        await fixtures.until(
            lambda: (
                not any(
                    peer.work
                    for e in others
                    for peer in e.inflight.peers.values()
                )
            )
        )

    async def test_calls_to_the_table_are_few(self):
        """Guards against many calls when all instances start at once."""
        system = await fixtures.start_system(self, fronts=9)
        calls = sum(system.store.calls.values())
        self.assertLessEqual(calls, 9 * 8)
        await asyncio.sleep(1.0)
        watching = sum(
            watchers.is_watcher(f.entry, asyncio.get_running_loop().time())
            for f in system.fronts
        )
        self.assertEqual(watching, watchers.WATCHERS)

    async def test_refused_watchers_are_replaced(self):
        """Guards against stale routes if the table refuses all watchers.

        They report it, so that other instances watch the table instead.
        """
        system = await fixtures.start_system(self, fronts=7, plain=1)
        await asyncio.sleep(0.7)
        now = asyncio.get_running_loop().time()
        entries = [f.entry for f in system.fronts]
        watching = [e for e in entries if watchers.is_watcher(e, now)]
        self.assertEqual(len(watching), watchers.WATCHERS)
        for entry in watching:
            entry.store.address = "127.0.0.1:9"
        system.store.forget_history()
        await asyncio.sleep(0.2)
        system.store.put("op", "config", fixtures.routes(6))
        await fixtures.until(
            lambda: all(e.table.version == 6 for e in entries), limit_s=1.9
        )
