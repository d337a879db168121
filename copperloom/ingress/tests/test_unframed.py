"""Tests answers of targets that have neither a length nor chunks."""

import unittest

from copperloom.ingress.tests import fixtures
from copperloom.platform.standins.target import Fault

_EVENTS = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 6))


class UnframedStreamTest(unittest.IsolatedAsyncioTestCase):
    async def _call(self, fault: Fault, path: str, *, both: bool = False):
        """Sends a stream whose first target, or both, has a fault."""
        system = await fixtures.start_system(self, engines=2, plain=1)
        for target in system.targets.values():
            target.break_after = 2
        answer = None
        system.targets["engine-0"].always = fault
        if both:
            system.targets["engine-1"].always = fault
        while not system.targets["engine-0"].seen:
            answer = await fixtures.call(system, path, prompt=4000)
        return answer

    async def test_stream_that_ends_with_its_connection_is_complete(self):
        answer = await self._call(Fault.UNFRAMED, "/chat/x")
        self.assertEqual(answer.body.decode(), _EVENTS)
        self.assertTrue(answer.complete)
        self.assertEqual(answer.headers.get("Transfer-Encoding"), "chunked")

    async def test_stream_that_ends_inside_an_event_is_resumed(self):
        """Guards against a clean end that passes for a whole stream."""
        for fault in (Fault.UNFRAMED_HALF, Fault.RESET_UNFRAMED):
            with self.subTest(fault):
                answer = await self._call(fault, "/chat/x")
                self.assertEqual(answer.body.decode(), _EVENTS)
                self.assertTrue(answer.complete)

    async def test_stream_that_may_not_resume_never_looks_whole(self):
        """Guards against half a stream that its caller takes for whole."""
        for fault in (Fault.UNFRAMED_HALF, Fault.RESET_UNFRAMED):
            with self.subTest(fault):
                answer = await self._call(fault, "/once/x", both=True)
                self.assertFalse(answer.complete)
                self.assertTrue(_EVENTS.startswith(answer.body.decode()))


class UnframedAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_connection_of_the_caller_serves_further_requests(self):
        """Guards against an end that closes the caller's connection too."""
        system = await fixtures.start_system(self, engines=1, plain=1)
        system.targets["plain-0"].always = Fault.UNFRAMED
        answers = [await fixtures.call(system, "/write/x") for _ in range(3)]
        self.assertEqual({a.status for a in answers}, {200})
        for answer in answers:
            self.assertIn("Content-Length", answer.headers)
        callers = system.fronts[0].listeners.callers
        self.assertEqual(len(callers.connections), 1)

    async def test_answers_without_a_body(self):
        """Guards against waiting for a body that never comes."""
        system = await fixtures.start_system(self, engines=1, plain=1)
        answer = await fixtures.call(system, "/read/x", method="HEAD")
        self.assertEqual((answer.status, answer.body), (200, b""))
        system.targets["plain-0"].always = Fault.NO_CONTENT
        answer = await fixtures.call(system, "/read/x", method="GET")
        self.assertEqual((answer.status, answer.body), (204, b""))
        self.assertTrue(answer.complete)
