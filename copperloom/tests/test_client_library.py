"""Guards against replies that a common client library can't parse."""

import unittest

import openai

from copperloom.tests import systems

_PROMPT = [{"role": "user", "content": "May guest 17 enter?"}]
_TOKENS = 12


class ClientLibraryTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(cls, entries=1, engines=1)

    def client(self, token: str) -> openai.OpenAI:
        address = self.system.entries["e0"].address
        client = openai.OpenAI(
            base_url=f"http://{address}/v1", api_key=token, max_retries=0
        )
        self.addCleanup(client.close)
        return client

    def setUp(self):
        self.authorised = self.client(systems.token_of("org-a"))

    def test_one_answer(self):
        answer = self.authorised.chat.completions.create(
            model=systems.CHAT, messages=_PROMPT, max_tokens=_TOKENS
        )
        choice = answer.choices[0]
        self.assertEqual(len(choice.message.content.split()), _TOKENS)
        self.assertEqual(answer.usage.completion_tokens, _TOKENS)
        self.assertIn(choice.finish_reason, ("stop", "length"))

    def test_stream(self):
        stream = self.authorised.chat.completions.create(
            model=systems.CHAT,
            messages=_PROMPT,
            max_tokens=_TOKENS,
            stream=True,
        )
        text = "".join(
            chunk.choices[0].delta.content or ""
            for chunk in stream
            if chunk.choices
        )
        self.assertEqual(len(text.split()), _TOKENS)

    def test_stream_equals_whole_answer(self):
        whole = self.authorised.chat.completions.create(
            model=systems.CHAT, messages=_PROMPT, max_tokens=_TOKENS
        )
        stream = self.authorised.chat.completions.create(
            model=systems.CHAT,
            messages=_PROMPT,
            max_tokens=_TOKENS,
            stream=True,
        )
        pieces = [c.choices[0].delta.content or "" for c in stream]
        self.assertEqual("".join(pieces), whole.choices[0].message.content)

    def test_models(self):
        names = [model.id for model in self.authorised.models.list()]
        self.assertIn(systems.CHAT, names)

    def test_errors_are_library_exceptions(self):
        with self.assertRaises(openai.AuthenticationError) as caught:
            self.client("wrong").chat.completions.create(
                model=systems.CHAT, messages=_PROMPT
            )
        self.assertEqual(caught.exception.body["code"], 2002)
        with self.assertRaises(openai.NotFoundError) as caught:
            self.authorised.chat.completions.create(
                model="none", messages=_PROMPT
            )
        self.assertEqual(caught.exception.body["code"], 2003)
