"""Guards against bad input that is accepted or disturbs other requests."""

import json
import unittest

import aiohttp

from copperloom.tests import systems

_CHAT_PATH = "/v1/chat/completions"
_VALID_BODY = {
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

    async def post(self, body, path=_CHAT_PATH, **headers) -> tuple[int, dict]:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        header_names = {k.replace("_", "-"): v for k, v in headers.items()}
        async with self.session.post(
            path, data=data, headers=header_names
        ) as reply:
            return reply.status, await reply.json()

    async def assert_rejected(self, code: int, status: int, body, **options):
        """Checks the error, and that a valid request is still served."""
        actual_status, reply = await self.post(body, **options)
        self.assertEqual(actual_status, status, reply)
        self.assertEqual(reply["error"]["code"], code)
        self.assertEqual(reply["error"]["run"], "not_run")
        # A retry can't succeed, so none is suggested.
        self.assertNotIn("retry_after_s", reply["error"])
        actual_status, reply = await self.post(_VALID_BODY)
        self.assertEqual(actual_status, 200, reply)

    async def test_malformed_json(self):
        await self.assert_rejected(2001, 400, b'{"model": ')
        await self.assert_rejected(2001, 400, b"\xff\xfe")
        await self.assert_rejected(2001, 400, {"model": systems.CHAT})
        await self.assert_rejected(2001, 400, _VALID_BODY | {"messages": []})
        await self.assert_rejected(2001, 400, _VALID_BODY | {"max_tokens": 0})

    async def test_deeply_nested_json(self):
        """Guards against a body that the decoder gives up with another error.

        The caller would be told that it is the instance's fault.
        """
        nested = b"[" * 50_000 + b"]" * 50_000
        for body in (
            nested,
            b'{"unknown": ' + nested + b"}",
            b'{"messages": ' + nested + b"}",
        ):
            await self.assert_rejected(2001, 400, body)

    async def test_unknown_names(self):
        await self.assert_rejected(2003, 404, _VALID_BODY | {"model": "none"})
        await self.assert_rejected(2003, 404, {}, path="/v1/services/none/x")
        await self.assert_rejected(
            2002, 401, _VALID_BODY, Authorization="Bearer of-nobody"
        )

    async def test_body_too_large(self):
        await self.assert_rejected(2005, 413, b"x" * (_BODY_LIMIT_BYTES + 1))

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
                await self.assert_rejected(2006, 400, _VALID_BODY, **header)

    async def test_prompt_larger_than_all_engines(self):
        text = "x" * (_BODY_LIMIT_BYTES - 1000)
        messages = [{"role": "user", "content": text}]
        await self.assert_rejected(
            2007, 413, _VALID_BODY | {"messages": messages}
        )

    async def test_key_reused_with_another_body(self):
        headers = {
            "Idempotency_Key": "admission-1",
            "X_Copperloom_Not_Repeatable": "true",
        }
        status, first = await self.post(_VALID_BODY, **headers)
        self.assertEqual(status, 200)
        await self.assert_rejected(
            2008, 422, _VALID_BODY | {"max_tokens": 3}, **headers
        )
        status, repeated = await self.post(_VALID_BODY, **headers)
        self.assertEqual(status, 200)
        self.assertEqual(repeated["choices"], first["choices"])
