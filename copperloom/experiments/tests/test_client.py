"""Tests that the client classifies answers, errors and lost requests."""

import dataclasses
import unittest

import msgspec

from copperloom.experiments import arrivals, client, result
from copperloom.experiments.tests import fake, samples


async def outcome(case, handler, **changes) -> result.Sample:
    mix = samples.mix(time_limit_s=0.2, grace_s=0.1)
    address, _ = await fake.start_entry(case, handler)
    request = dataclasses.replace(samples.REQUEST, **changes)
    (sample,) = await client.run(mix, [request], [address])
    return sample


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_complete_answer_is_ok(self):
        sample = await outcome(self, fake.complete)
        self.assertEqual(sample.code, result.OK, sample.problem)
        self.assertEqual(sample.request, "r1")
        self.assertLessEqual(sample.first_s, sample.total_s)

    async def test_truncated_answer_is_lost(self):
        """Guards against taking an interrupted stream for an answer."""
        sample = await outcome(self, fake.truncate)
        self.assertEqual(sample.code, result.LOST)

    async def test_chunks_of_several_answers_are_wrong(self):
        """Guards against answers whose chunks were mixed up."""
        sample = await outcome(self, fake.mix_answers)
        self.assertEqual(sample.code, result.WRONG)

    async def test_refusal_keeps_its_code(self):
        sample = await outcome(self, fake.refuse)
        self.assertEqual((sample.code, sample.run), (3001, "not_run"))

    async def test_error_within_the_stream_keeps_its_code(self):
        sample = await outcome(self, fake.fail_late)
        self.assertEqual((sample.code, sample.run), (4004, "may_have_run"))

    async def test_request_without_an_outcome_is_lost(self):
        sample = await outcome(self, fake.hang)
        self.assertEqual(sample.code, result.LOST)

    async def test_request_to_an_unreachable_entry_is_lost(self):
        mix = samples.mix()
        (sample,) = await client.run(mix, [samples.REQUEST], ["127.0.0.1:1"])
        self.assertEqual(sample.code, result.LOST)

    async def test_service_call_is_ok(self):
        sample = await outcome(
            self, fake.complete, group=arrivals.SERVICE, prompt_tokens=0
        )
        self.assertEqual(sample.code, result.OK)

    async def test_request_has_the_body_and_headers_of_its_arrival(self):
        address, received = await fake.start_entry(self, fake.complete)
        request = dataclasses.replace(samples.REQUEST, prefix=1, key="k")
        mix = samples.mix()
        await client.run(mix, [request], [address])
        headers = received[0]["headers"]
        self.assertRegex(headers["Idempotency-Key"], "^k-")
        self.assertEqual(headers["X-Copperloom-Not-Repeatable"], "true")
        self.assertEqual(headers["Authorization"], "Bearer token-org-00")
        body = msgspec.json.decode(
            received[0]["body"], type=dict[str, msgspec.Raw]
        )
        self.assertEqual(
            len(bytes(body["messages"])), 2000 * mix.load.bytes_per_token
        )
        self.assertEqual(bytes(body["max_tokens"]), b"32")

    async def test_second_run_of_a_seed_has_new_idempotency_keys(self):
        """Guards against answers replayed from the records of a past run."""
        address, received = await fake.start_entry(self, fake.complete)
        request = dataclasses.replace(samples.REQUEST, key="k")
        for _ in range(2):
            await client.run(samples.mix(), [request], [address])
        keys = {sent["headers"]["Idempotency-Key"] for sent in received}
        self.assertEqual(len(keys), 2)

    async def test_answer_with_unexpected_text_is_wrong(self):
        """Guards against delivery of another caller's answer."""
        address, _ = await fake.start_entry(self, fake.complete)
        for text, code in (("ab", result.OK), ("ax", result.WRONG)):
            (sample,) = await client.run(
                samples.mix(),
                [samples.REQUEST],
                [address],
                expected=lambda request, messages, text=text: text,
            )
            self.assertEqual(sample.code, code, sample.problem)
