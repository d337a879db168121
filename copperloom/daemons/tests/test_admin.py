"""Tests of the HTTP API for operators and of the readiness check."""

import time
import unittest

from aiohttp import test_utils, web

from copperloom import configuration
from copperloom.controllers import config, member
from copperloom.controllers.tests import fixtures
from copperloom.daemons import admin, http


class AdminTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.standin = fixtures.start_platform(self)

    async def asyncSetUp(self):
        self.entry = fixtures.entry_state(self, self.standin.address)
        await config.step(self.entry, time.monotonic())
        self.entry.membership.listed_self = True
        app = web.Application()
        app.add_routes(admin.routes(self.entry))
        self.client = test_utils.TestClient(test_utils.TestServer(app))
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def call(self, method, path, token=fixtures.TOKEN, **keys):
        headers = {"Authorization": f"Bearer {token}"}
        reply = await self.client.request(
            method, f"/admin/v1/{path}", headers=headers, **keys
        )
        return reply.status, await reply.json()

    async def put(self, *puts, **values):
        body = {"operator": "olga", "puts": puts, **values}
        return await self.call("POST", "changes", json=body)

    async def test_wrong_token_is_rejected(self):
        status, body = await self.call("GET", "config", token="other")
        self.assertEqual((status, body["code"]), (403, 2004))

    async def test_calls_are_rejected_if_no_token_is_configured(self):
        entry = fixtures.entry_state(self, self.standin.address)
        object.__setattr__(entry.settings.entry, "operator_token_sha256", "")
        self.entry.settings = entry.settings
        status, _ = await self.call("GET", "config", token="")
        self.assertEqual(status, 403)

    async def test_entry_that_knows_no_member_rejects_changes(self):
        """An entry starts while it is isolated from the other members.

        Guards against reporting a change as in force everywhere because the
        entry mistakes itself for the whole fleet.
        """
        self.entry.membership.listed_self = False
        status, body = await self.put(fixtures.target("t"))
        self.assertEqual((status, body["code"]), (503, 5006), body)
        self.assertEqual(self.entry.cfg.version, 0)

    async def test_change_is_in_force_when_the_call_returns(self):
        status, body = await self.put(fixtures.target("t"))
        self.assertEqual(status, 200, body)
        self.assertEqual(
            (body["version"], body["in_force"], body["members"]), (1, 1, 1)
        )
        _, shown = await self.call("GET", "config")
        self.assertEqual([key for key, _ in shown["entities"]], ["target/t"])
        _, audit = await self.call("GET", "audit")
        self.assertEqual(audit["audit"][0]["operator"], "olga")
        _, status = await self.call("GET", "status")
        self.assertEqual(status["version"], 1)

    async def test_conflicting_change_is_rejected_with_the_winner(self):
        await self.put(fixtures.target("t"), seen_version=0)
        status, body = await self.put(fixtures.target("u"), seen_version=0)
        self.assertEqual((status, body["code"]), (409, 5004))
        self.assertIn("version 1 by olga", body["error"])

    async def test_malformed_body_is_rejected(self):
        for body in (b"{", b'{"puts": 3}', b'{"operator": "o"}'):
            status, answer = await self.call("POST", "changes", data=body)
            self.assertEqual((status, answer["code"]), (400, 2001))

    async def test_drain_call_drains_the_entry(self):
        await self.call("POST", "drain")
        self.assertTrue(self.entry.draining)


class ReadyTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.entry = fixtures.entry_state(self, "127.0.0.1:1")

    async def asyncSetUp(self):
        server = test_utils.TestServer(http.make_app(self.entry))
        self.client = test_utils.TestClient(server)
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def ready(self):
        return (await self.client.get("/ready")).status

    async def test_entry_is_ready_only_if_it_admits_requests(self):
        self.assertEqual(await self.ready(), 503)
        config.adopt(self.entry, configuration.Configuration(version=1), 0.0)
        self.entry.members["b"] = member.Member("b", "127.0.0.1:1")
        self.assertEqual(await self.ready(), 503)
        config.confirm(self.entry, time.monotonic())
        self.assertEqual(await self.ready(), 200)
        self.entry.draining = True
        self.assertEqual(await self.ready(), 503)
