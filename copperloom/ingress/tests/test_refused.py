"""Tests that a status which denies a run is sent only if nothing ran or will.

For requests that may run only once.
"""

import asyncio
import contextlib
import socket
import types
import unittest
from unittest import mock

from copperloom import exception
from copperloom.decisions import peer_relay as decisions
from copperloom.ingress import (
    outcome,
    peer_relay,
    relayed_requests,
    sender,
)
from copperloom.ingress.tests import fixtures, partitions
from copperloom.platform.standins import links, target
from copperloom.platform.standins.target import Fault

_PATHS = (("/write/x", 0), ("/once/x", 4000))
_DENIALS = (408, 421, 429, 503)


def _full_listener(case) -> tuple[socket.socket, list[socket.socket]]:
    """Returns a listener that completes no further connection, and others'."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    case.addCleanup(listener.close)
    fillers = []
    for _ in range(2):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        case.addCleanup(filler.close)
        fillers.append(filler)
    return listener, fillers


async def _received(listener: socket.socket, most: int, seconds: float):
    """Returns what comes over connections that are accepted from now on."""
    loop = asyncio.get_running_loop()
    listener.setblocking(False)
    received = b""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            for _ in range(most):
                connection, _ = await loop.sock_accept(listener)
                connection.setblocking(False)
                with connection, contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.2):
                        received += await loop.sock_recv(connection, 1000)
    return received


class StatusTest(unittest.TestCase):
    def test_errors_that_deny_a_run_do_not_after_one(self):
        """Guards against a refusal of a later attempt that hides a run."""
        for status in _DENIALS:
            error = exception.CopperloomError()
            error.status = status
            for run in exception.Run:
                ex = types.SimpleNamespace(run=run)
                sent = outcome._status(ex, error)
                with self.subTest(status=status, run=run):
                    denies = sent in _DENIALS
                    self.assertEqual(denies, run is exception.Run.NOT_RUN)


class RefusedTest(unittest.IsolatedAsyncioTestCase):
    async def test_unsealed_denial_is_no_proof(self):
        """Guards against a status of something between here and the target."""
        system = await fixtures.start_system(self)
        for path, prompt in _PATHS:
            for standin in system.targets.values():
                standin.always = Fault.UNSEALED_LIMIT
            answer = await fixtures.call(system, path, prompt=prompt)
            self.assertEqual(answer.status, 502)
            self.assertEqual(partitions.runs(system, answer), 1)

    async def test_lost_connection_that_looks_like_the_callers(self):
        """Guards against 503 for an error that ends a request in the middle."""
        system = await fixtures.start_system(self)
        with mock.patch.object(
            sender, "send", side_effect=ConnectionResetError
        ):
            answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 502)

    async def test_connection_made_late_carries_nothing(self):
        """Guards against a run after the caller was refused."""
        system = await fixtures.start_system(self, engines=1, plain=0)
        listener, fillers = _full_listener(self)
        row = target.TargetStandin("late").registration("plain")
        row["address"] = "{}:{}".format(*listener.getsockname())
        system.store.put("servers", "late", row)
        state = system.fronts[0].entry
        await fixtures.until(lambda: "late" in state.targets.entries)
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.status, 503)
        self.assertEqual(await _received(listener, len(fillers) + 4, 1.5), b"")

    async def test_limit_while_the_target_runs_it(self):
        """Guards against 503 at a deadline while an attempt is under way."""
        system = await fixtures.start_system(self)
        for path, prompt in _PATHS:
            for standin in system.targets.values():
                standin.always = Fault.MUTE
            answer = await fixtures.call(
                system, path, prompt=prompt, wait_ms=300
            )
            self.assertEqual(answer.status, 504)
            self.assertEqual(partitions.runs(system, answer), 1)


class LateOfferTest(unittest.IsolatedAsyncioTestCase):
    async def test_offer_accepted_late_runs_nothing(self):
        """Guards against a run at a peer after the caller was refused."""
        system = await partitions.start_partitioned(
            self, links.Partition.REFUSE, fronts=2
        )
        await fixtures.call(system, "/read/x", method="GET")
        state = system.fronts[0].entry
        await fixtures.until(lambda: state.reachability.is_lost)
        check_offer = relayed_requests._check_offer
        accepted = []

        def check_late(state, offer, now):
            accepted.append(check_offer(state, offer, now))
            return accepted[-1]

        receive = peer_relay._receive_verdict

        async def receive_late(stream, offer):
            refusal = await receive(stream, offer)
            await asyncio.sleep(0.3)
            return refusal

        with (
            mock.patch.object(relayed_requests, "_check_offer", check_late),
            mock.patch.object(peer_relay, "_receive_verdict", receive_late),
            mock.patch.object(peer_relay, "LAST_OFFER_TIMEOUT_S", 0.2),
        ):
            answers = [
                await fixtures.call(system, path, prompt=prompt)
                for path, prompt in _PATHS
            ]
            await asyncio.sleep(0.5)
        self.assertEqual(accepted, [None, None])
        for answer in answers:
            self.assertEqual(answer.status, 503)
            self.assertEqual(partitions.runs(system, answer), 0)
        self.assertNotIn(decisions.Refusal.STALE, accepted)
