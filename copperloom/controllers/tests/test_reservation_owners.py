"""Consent of an engine's owner to long work, over several entries."""

import asyncio
import time
import unittest
from unittest import mock

from copperloom import configuration, exception, messages
from copperloom.controllers import changes, digest_exchange, reservation_owners
from copperloom.controllers.tests import fixtures, fleet
from copperloom.decisions import reservation
from copperloom.peers import peers_pb2

_KV = 1000
# The default preset leaves nine tenths of an engine to long work.
_LONG = 900
_BOUND_S = 10.0


def placement(name: str, *targets: str, tokens: int = 600):
    request = messages.Request(
        id=name,
        organisation="org",
        weight=1.0,
        deployment="d",
        kind=configuration.TargetKind.ENGINE,
        model="m",
        prompt_tokens=tokens,
        max_tokens=1,
        arrived=0.0,
        deadline=1e9,
        version=1,
    )
    sizes = tuple(tokens for _ in targets)
    return messages.Placement(request, targets, sizes, 0, long=True)


class OwnersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.standin = fixtures.start_platform(self, **fleet.PLATFORM_KEYS)

    async def asyncSetUp(self):
        self.fleet = await fleet.start_fleet(self, self.standin, 3)
        names = [f"t{i}" for i in range(6)]
        await changes.make_change(
            self.fleet[0].platform,
            self.fleet[0].cfg,
            tuple(fixtures.target(n, kv_tokens=_KV) for n in names),
            (),
            operator="olga",
            note="",
            seen_version=0,
            nonce="n",
            wall_time_s=0.0,
            timeout_s=5.0,
        )
        await fixtures.until(self.all_open, _BOUND_S)

    def owner(self, target):
        now = time.monotonic()
        told = {reservation_owners.owner_of(e, target, now) for e in self.fleet}
        if len(told) != 1:
            return None
        return next(e for e in self.fleet if e.settings.entry.instance in told)

    def free(self, target):
        owner = self.owner(target)
        return reservation.free_tokens(owner.book, target) if owner else None

    def all_open(self):
        now = time.monotonic()
        for target in self.fleet[0].cfg.targets or ["none"]:
            owner = self.owner(target)
            ledger = owner.book.ledgers.get(target) if owner else None
            if ledger is None or not ledger.looked or now < ledger.opens_at:
                return False
        return True

    async def reserve(self, entry, placed):
        await reservation_owners.reserve(entry, placed, time.monotonic())

    async def test_all_entries_agree_and_share_the_work(self):
        names = {
            self.owner(t).settings.entry.instance
            for t in self.fleet[0].cfg.targets
        }
        self.assertGreater(len(names), 1)
        now = time.monotonic()
        owned = [set(reservation_owners.owned(e, now)) for e in self.fleet]
        self.assertEqual(sum(map(len, owned)), len(self.fleet[0].cfg.targets))
        self.assertEqual(set.union(*owned), set(self.fleet[0].cfg.targets))

    async def test_memory_is_not_promised_twice(self):
        """Two entries want more of one engine than it has.

        Both reports say that it is empty. Its owner grants one and tells the
        other when to come back; a release lets it in.
        """
        first, second = self.fleet[0], self.fleet[1]
        one = placement("e0.b.1", "t0")
        two = placement("e1.b.1", "t0")
        await self.reserve(first, one)
        with self.assertRaises(exception.CapacityExceededError) as caught:
            await self.reserve(second, two)
        self.assertGreater(caught.exception.retry_after_s, 0)
        await reservation_owners.release(first, one)
        await fixtures.until(lambda: self.free("t0") == _LONG, _BOUND_S)
        await self.reserve(second, two)

    async def test_group_gets_all_or_nothing(self):
        for entry in self.fleet:
            # So long that only a release can give the memory back in time.
            object.__setattr__(entry.settings.targets, "reservation_s", 60.0)
        entry = self.fleet[0]
        await self.reserve(entry, placement("e0.b.1", "t5"))
        with self.assertRaises(exception.CapacityExceededError):
            await self.reserve(entry, placement("e0.b.2", "t5", "t1", "t0"))
        await fixtures.until(
            lambda: self.free("t0") == self.free("t1") == _LONG, _BOUND_S
        )

    async def test_crossed_groups_do_not_block_each_other(self):
        """Two groups want the same engines in different orders, again."""
        for number in range(5):
            one = placement(f"e0.b.{number}", "t0", "t1", "t2")
            two = placement(f"e1.b.{number}", "t2", "t1", "t0")
            results = await asyncio.gather(
                self.reserve(self.fleet[0], one),
                self.reserve(self.fleet[1], two),
                return_exceptions=True,
            )
            self.assertIn(None, results, results)
            await reservation_owners.release(self.fleet[0], one)
            await reservation_owners.release(self.fleet[1], two)
            await fixtures.until(
                lambda: all(self.free(t) == _LONG for t in ("t0", "t1", "t2")),
                _BOUND_S,
            )

    async def test_reservation_is_renewed_while_in_flight(self):
        await self.reserve(self.fleet[0], placement("e0.b.1", "t0"))
        life_s = self.fleet[0].settings.targets.reservation_s
        end = time.monotonic() + 2 * life_s
        while time.monotonic() < end:
            self.assertEqual(self.free("t0"), _LONG - 600)
            await asyncio.sleep(0.05)

    async def test_late_renewal_brings_nothing_back(self):
        """A renewal is under way when its work ends, and comes last."""
        owner = self.owner("t0")
        entry = next(e for e in self.fleet if e is not owner)
        placed = placement("x.b.1", "t0")
        await self.reserve(entry, placed)
        kept = []

        async def keep(state, instance, method, message, *, timeout_s):
            kept.append(message)
            return peers_pb2.ReserveReply(granted=True)

        with mock.patch.object(digest_exchange, "call", keep):
            await reservation_owners.step(entry, time.monotonic())
        await reservation_owners.release(entry, placed)
        await fixtures.until(lambda: self.free("t0") == _LONG, _BOUND_S)
        late = [m for m in kept if m.stream == placed.request.id]
        self.assertTrue(late)
        reservation_owners.grant(owner, late[0], time.monotonic())
        self.assertEqual(self.free("t0"), _LONG)

    async def test_dead_entry_loses_its_reservations(self):
        dead = next(e for e in self.fleet if e is not self.owner("t0"))
        await self.reserve(dead, placement("x.b.1", "t0"))
        self.assertEqual(self.free("t0"), _LONG - 600)
        owner = self.owner("t0")
        await fleet.stop(dead)
        await fixtures.until(
            lambda: reservation.free_tokens(owner.book, "t0") == _LONG,
            _BOUND_S,
        )

    async def test_new_owner_waits_for_the_old_ones_grants(self):
        """The owner of an engine dies with a grant that is not used yet.

        The next owner knows nothing of it. It grants nothing for the life of
        a reservation, after which the grant is used or has run out.
        """
        old = self.owner("t0")
        entry = next(e for e in self.fleet if e is not old)
        await fleet.stop(old)
        stopped = time.monotonic()
        self.fleet.remove(old)
        placed = placement("e0.b.1", "t0")
        while True:
            try:
                await self.reserve(entry, placed)
                break
            except (
                exception.CapacityExceededError,
                exception.PeerUnavailableError,
            ):
                self.assertLess(time.monotonic() - stopped, _BOUND_S)
                await asyncio.sleep(0.05)
        life_s = entry.settings.targets.reservation_s
        self.assertGreaterEqual(time.monotonic() - stopped, life_s)
