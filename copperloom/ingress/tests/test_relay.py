"""Tests that requests and answers are relayed unchanged."""

import unittest

from copperloom.ingress.tests import fixtures
from copperloom.platform.standins import wire
from copperloom.platform.standins.target import Fault


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_path_query_and_body_are_unchanged(self):
        system = await fixtures.start_system(self, plain=1)
        path = "/write/a%2Fb/..%20/x?q=%41&r=a+b"
        body = bytes(range(256)) * 20
        answer = await fixtures.call(system, path, body=body)
        seen = system.targets["plain-0"].seen[0]
        self.assertEqual(answer.status, 200)
        self.assertEqual(seen.raw_path, path)
        self.assertEqual(seen.body, body)
        self.assertEqual(seen.id, answer.id)

    async def test_chunked_body_is_relayed(self):
        system = await fixtures.start_system(self, plain=1)

        async def chunks():
            yield b"one"
            yield b"two"

        answer = await fixtures.call(system, "/write/x", body=chunks())
        self.assertEqual(answer.status, 200)
        self.assertEqual(system.targets["plain-0"].seen[0].body, b"onetwo")

    async def test_key_and_reserved_headers_are_removed(self):
        system = await fixtures.start_system(self, plain=1)
        sent = {
            wire.ORGANISATION: "other",
            wire.TARGET: "other",
            wire.HELPERS: "127.0.0.1:1",
            "X-Own": "kept",
            "Connection": "X-Hop",
            "X-Hop": "dropped",
        }
        await fixtures.call(system, "/write/x", headers=sent)
        headers = system.targets["plain-0"].seen[0].headers
        self.assertEqual(headers[wire.ORGANISATION], "lounge")
        self.assertEqual(headers[wire.TARGET], "plain-0")
        self.assertEqual(headers["X-Own"], "kept")
        for name in (wire.KEY, wire.HELPERS, "X-Hop"):
            self.assertNotIn(name, headers)

    async def test_remaining_time_is_sent_to_the_target(self):
        system = await fixtures.start_system(self, plain=1)
        await fixtures.call(system, "/write/x", wait_ms=900)
        headers = system.targets["plain-0"].seen[0].headers
        left_ms = int(headers[wire.LEFT])
        self.assertLessEqual(left_ms, 900)
        self.assertGreater(left_ms, 700)

    async def test_server_error_is_relayed_with_its_seal(self):
        system = await fixtures.start_system(self, plain=1)
        system.targets["plain-0"].always = Fault.FAIL
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 500)
        self.assertIn(wire.SEAL, answer.headers)
        self.assertEqual(answer.body, b"failed")

    async def test_answer_without_content_length_is_relayed(self):
        system = await fixtures.start_system(self, plain=1)
        system.targets["plain-0"].always = Fault.UNFRAMED
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body, f"plain-0 did {answer.id}".encode())

    async def test_stream_is_complete_and_in_order(self):
        system = await fixtures.start_system(self)
        answer = await fixtures.call(system, "/chat/x", prompt=5000)
        events = answer.body.decode().split("\n\n")[:-1]
        expected = [f"id: {n}\ndata: piece {n}" for n in range(1, 6)]
        self.assertEqual(events, expected)
        self.assertTrue(answer.complete)

    async def test_caller_resumes_stream_after_last_event_id(self):
        system = await fixtures.start_system(self)
        answer = await fixtures.call(
            system, "/chat/x", prompt=5000, headers={"Last-Event-Id": "3"}
        )
        self.assertTrue(answer.body.startswith(b"id: 4\n"))


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def test_unknown_route_unknown_key_and_large_body_are_refused(self):
        system = await fixtures.start_system(self, plain=1)
        unknown_route = await fixtures.call(system, "/nowhere/x")
        self.assertEqual(unknown_route.status, 404)
        unknown_key = await fixtures.call(
            system, "/write/x", headers={wire.KEY: "none"}
        )
        self.assertEqual(unknown_key.status, 401)
        large_body = await fixtures.call(
            system, "/write/x", body=b"x" * 100_001
        )
        self.assertEqual(large_body.status, 413)
        self.assertEqual(system.targets["plain-0"].seen, [])

    async def test_public_route_needs_no_key(self):
        system = await fixtures.start_system(self, plain=1)
        public = fixtures.engine_route(
            "/open/", kind="idempotent", service="plain", public=True
        )
        system.store.put("op", "config", fixtures.routes(2, [public]))
        entry = system.fronts[0].entry
        await fixtures.until(lambda: entry.table.version == 2)
        answer = await fixtures.call(
            system, "/open/x", headers={wire.KEY: "none"}
        )
        self.assertEqual(answer.status, 200)
        headers = system.targets["plain-0"].seen[0].headers
        self.assertNotIn(wire.ORGANISATION, headers)

    async def test_longest_matching_prefix_selects_the_route(self):
        system = await fixtures.start_system(self)
        inner = fixtures.engine_route("/read/chat/")
        system.store.put("op", "config", fixtures.routes(2, [inner]))
        entry = system.fronts[0].entry
        await fixtures.until(lambda: entry.table.version == 2)
        await fixtures.call(system, "/read/chat/x", prompt=100)
        await fixtures.call(system, "/read/chatter", method="GET")
        engines = [t for n, t in system.targets.items() if "engine" in n]
        plain = [t for n, t in system.targets.items() if "plain" in n]
        self.assertEqual(sum(len(t.seen) for t in engines), 1)
        self.assertEqual(sum(len(t.seen) for t in plain), 1)
