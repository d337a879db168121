"""Bad input gets a numbered error at once, and nothing else is hurt by it."""

import json
import unittest

import aiohttp

from copperloom.tests import systems

_CHAT = "/v1/chat/completions"
_GOOD = {
    "model": systems.CHAT,
    "messages": [{"role": "user", "content": "x"}],
    "max_tokens": 2,
}
_BODY_LIMIT_BYTES = 300_000
_ENGINE_TOKENS = 20_000


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(
            cls,
            entries=1,
            engines=2,
            engine={"kv_tokens": _ENGINE_TOKENS},
            entry={"limits": {"body_bytes": _BODY_LIMIT_BYTES}},
        )

    async def asyncSetUp(self):
        token = systems.token_of("org-a")
        self.session = aiohttp.ClientSession(
            f"http://{self.system.entries['e0'].address}",
            headers={"Authorization": f"Bearer {token}"},
        )
        self.addAsyncCleanup(self.session.close)

    async def post(self, body, path=_CHAT, **headers) -> tuple[int, dict]:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        named = {k.replace("_", "-"): v for k, v in headers.items()}
        async with self.session.post(path, data=data, headers=named) as reply:
            return reply.status, await reply.json()

    async def refused(self, code: int, status: int, body, **options):
        """Checks the error, and that a good request still is served."""
        got, reply = await self.post(body, **options)
        self.assertEqual(got, status, reply)
        self.assertEqual(reply["error"]["code"], code)
        self.assertEqual(reply["error"]["run"], "not_run")
        # None of these gets better by trying again.
        self.assertNotIn("retry_after_s", reply["error"])
        got, reply = await self.post(_GOOD)
        self.assertEqual(got, 200, reply)

    async def test_malformed_json(self):
        await self.refused(2001, 400, b'{"model": ')
        await self.refused(2001, 400, b"\xff\xfe")
        await self.refused(2001, 400, {"model": systems.CHAT})
        await self.refused(2001, 400, _GOOD | {"messages": []})
        await self.refused(2001, 400, _GOOD | {"max_tokens": 0})

    async def test_unknown_names(self):
        await self.refused(2003, 404, _GOOD | {"model": "none"})
        await self.refused(2003, 404, {}, path="/v1/services/none/x")
        await self.refused(2002, 401, _GOOD, Authorization="Bearer of-nobody")

    async def test_body_too_large(self):
        await self.refused(2005, 413, b"x" * (_BODY_LIMIT_BYTES + 1))

    async def test_headers_out_of_range(self):
        for header in (
            {"X_Copperloom_Time_Limit": "0"},
            {"X_Copperloom_Time_Limit": "nan"},
            {"X_Copperloom_Time_Limit": "1e9"},
            {"X_Copperloom_Time_Limit": "soon"},
            {"X_Copperloom_Not_Repeatable": "perhaps"},
            {"Idempotency_Key": "k" * 201},
        ):
            with self.subTest(header):
                await self.refused(2006, 400, _GOOD, **header)

    async def test_prompt_that_no_group_can_hold(self):
        text = "x" * (_BODY_LIMIT_BYTES - 1000)
        long = [{"role": "user", "content": text}]
        await self.refused(2007, 413, _GOOD | {"messages": long})

    async def test_one_key_with_two_bodies(self):
        headers = {
            "Idempotency_Key": "admission-1",
            "X_Copperloom_Not_Repeatable": "true",
        }
        status, first = await self.post(_GOOD, **headers)
        self.assertEqual(status, 200)
        await self.refused(2008, 422, _GOOD | {"max_tokens": 3}, **headers)
        status, again = await self.post(_GOOD, **headers)
        self.assertEqual(status, 200)
        self.assertEqual(again["choices"], first["choices"])
