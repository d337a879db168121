"""The client tells whole answers, coded errors and lost requests apart."""

import dataclasses
import unittest

import msgspec

from copperloom.experiments import arrivals, client, result
from copperloom.experiments.tests import fake, samples


async def outcome(case, answer, **changes) -> result.Sample:
    mix = samples.mix(time_limit_s=0.2, grace_s=0.1)
    address, _ = await fake.start_entry(case, answer)
    request = dataclasses.replace(samples.REQUEST, **changes)
    (sample,) = await client.run(mix, [request], [address])
    return sample


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_whole(self):
        sample = await outcome(self, fake.whole)
        self.assertEqual(sample.code, result.OK, sample.problem)
        self.assertEqual(sample.request, "r1")
        self.assertLessEqual(sample.first_s, sample.total_s)

    async def test_cut_answer_is_lost_though_it_looks_ended(self):
        sample = await outcome(self, fake.cut)
        self.assertEqual(sample.code, result.LOST)

    async def test_pieces_of_another_answer(self):
        sample = await outcome(self, fake.crossed)
        self.assertEqual(sample.code, result.WRONG)

    async def test_refusal(self):
        sample = await outcome(self, fake.refuse)
        self.assertEqual((sample.code, sample.run), (3001, "not_run"))

    async def test_error_within_the_stream(self):
        sample = await outcome(self, fake.fail_late)
        self.assertEqual((sample.code, sample.run), (4004, "may_have_run"))

    async def test_no_outcome_in_time(self):
        sample = await outcome(self, fake.hang)
        self.assertEqual(sample.code, result.LOST)

    async def test_entry_gone(self):
        mix = samples.mix()
        (sample,) = await client.run(mix, [samples.REQUEST], ["127.0.0.1:1"])
        self.assertEqual(sample.code, result.LOST)

    async def test_service_call(self):
        sample = await outcome(
            self, fake.whole, group=arrivals.SERVICE, prompt_tokens=0
        )
        self.assertEqual(sample.code, result.OK)

    async def test_body_and_headers(self):
        address, seen = await fake.start_entry(self, fake.whole)
        request = dataclasses.replace(samples.REQUEST, prefix=1, key="k")
        mix = samples.mix()
        await client.run(mix, [request], [address])
        headers = seen[0]["headers"]
        self.assertRegex(headers["Idempotency-Key"], "^k-")
        self.assertEqual(headers["X-Copperloom-Not-Repeatable"], "true")
        self.assertEqual(headers["Authorization"], "Bearer token-org-00")
        body = msgspec.json.decode(seen[0]["body"], type=dict[str, msgspec.Raw])
        self.assertEqual(
            len(bytes(body["messages"])), 2000 * mix.load.bytes_per_token
        )
        self.assertEqual(bytes(body["max_tokens"]), b"32")

    async def test_a_second_run_of_a_seed_is_no_repeat(self):
        address, seen = await fake.start_entry(self, fake.whole)
        request = dataclasses.replace(samples.REQUEST, key="k")
        for _ in range(2):
            await client.run(samples.mix(), [request], [address])
        keys = {one["headers"]["Idempotency-Key"] for one in seen}
        self.assertEqual(len(keys), 2)

    async def test_another_callers_answer(self):
        address, _ = await fake.start_entry(self, fake.whole)
        for text, code in (("ab", result.OK), ("ax", result.WRONG)):
            (sample,) = await client.run(
                samples.mix(),
                [samples.REQUEST],
                [address],
                expected=lambda request, messages, text=text: text,
            )
            self.assertEqual(sample.code, code, sample.problem)
