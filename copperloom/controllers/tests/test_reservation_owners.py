"""Tests of reservations granted by engine owners among several entries."""

import asyncio
import time
import unittest
from unittest import mock

from copperloom import configuration, exception, messages
from copperloom.controllers import changes, digest_exchange, reservation_owners
from copperloom.controllers.tests import fixtures, fleet
from copperloom.decisions import reservation
from copperloom.peers import peers_pb2

_KV_TOKENS = 1000
# The default preset allows long requests nine tenths of an engine.
_LONG_TOKENS = 900
_TIMEOUT_S = 10.0


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
            tuple(fixtures.target(n, kv_tokens=_KV_TOKENS) for n in names),
            (),
            operator="olga",
            note="",
            seen_version=0,
            nonce="n",
            wall_time_s=0.0,
            timeout_s=5.0,
        )
        await fixtures.until(self.all_open, _TIMEOUT_S)

    def owner(self, target):
        now = time.monotonic()
        owners = {
            reservation_owners.owner_of(e, target, now) for e in self.fleet
        }
        if len(owners) != 1:
            return None
        return next(
            e for e in self.fleet if e.settings.entry.instance in owners
        )

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

    async def test_entries_agree_on_owners_and_share_targets(self):
        names = {
            self.owner(t).settings.entry.instance
            for t in self.fleet[0].cfg.targets
        }
        self.assertGreater(len(names), 1)
        now = time.monotonic()
        owned = [
            set(reservation_owners.owned_engines(e, now)) for e in self.fleet
        ]
        self.assertEqual(sum(map(len, owned)), len(self.fleet[0].cfg.targets))
        self.assertEqual(set.union(*owned), set(self.fleet[0].cfg.targets))

    async def test_owner_does_not_overcommit_memory(self):
        """Guards against overcommitment when two entries see an idle engine.

        The second entry is refused until the first releases its reservation.
        """
        first, second = self.fleet[0], self.fleet[1]
        one = placement("e0.b.1", "t0")
        two = placement("e1.b.1", "t0")
        await self.reserve(first, one)
        with self.assertRaises(exception.CapacityExceededError) as caught:
            await self.reserve(second, two)
        self.assertGreater(caught.exception.retry_after_s, 0)
        await reservation_owners.release(first, one)
        await fixtures.until(
            lambda: self.free("t0") == _LONG_TOKENS, _TIMEOUT_S
        )
        await self.reserve(second, two)

    async def test_placement_reserves_all_targets_or_none(self):
        for entry in self.fleet:
            # Long enough that the memory is not freed by expiry.
            object.__setattr__(entry.settings.targets, "reservation_s", 60.0)
        entry = self.fleet[0]
        await self.reserve(entry, placement("e0.b.1", "t5"))
        with self.assertRaises(exception.CapacityExceededError):
            await self.reserve(entry, placement("e0.b.2", "t5", "t1", "t0"))
        await fixtures.until(
            lambda: self.free("t0") == self.free("t1") == _LONG_TOKENS,
            _TIMEOUT_S,
        )

    async def test_placements_in_different_order_do_not_block_each_other(self):
        """Guards against two placements that each reserve half the engines."""
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
                lambda: all(
                    self.free(t) == _LONG_TOKENS for t in ("t0", "t1", "t2")
                ),
                _TIMEOUT_S,
            )

    async def test_reservation_is_renewed_while_in_flight(self):
        await self.reserve(self.fleet[0], placement("e0.b.1", "t0"))
        lifetime_s = self.fleet[0].settings.targets.reservation_s
        end = time.monotonic() + 2 * lifetime_s
        while time.monotonic() < end:
            self.assertEqual(self.free("t0"), _LONG_TOKENS - 600)
            await asyncio.sleep(0.05)

    async def test_late_renewal_does_not_restore_a_reservation(self):
        """Guards against memory blocked by a renewal after its release."""
        owner = self.owner("t0")
        entry = next(e for e in self.fleet if e is not owner)
        placed = placement("x.b.1", "t0")
        await self.reserve(entry, placed)
        calls = []

        async def hold_back(state, instance, method, message, *, timeout_s):
            calls.append(message)
            return peers_pb2.ReserveReply(granted=True)

        with mock.patch.object(digest_exchange, "call", hold_back):
            await reservation_owners.step(entry, time.monotonic())
        await reservation_owners.release(entry, placed)
        await fixtures.until(
            lambda: self.free("t0") == _LONG_TOKENS, _TIMEOUT_S
        )
        late = [m for m in calls if m.stream == placed.request.id]
        self.assertTrue(late)
        reservation_owners.grant_reservation(owner, late[0], time.monotonic())
        self.assertEqual(self.free("t0"), _LONG_TOKENS)

    async def test_reservations_of_a_dead_entry_expire(self):
        dead = next(e for e in self.fleet if e is not self.owner("t0"))
        await self.reserve(dead, placement("x.b.1", "t0"))
        self.assertEqual(self.free("t0"), _LONG_TOKENS - 600)
        owner = self.owner("t0")
        await fleet.stop(dead)
        await fixtures.until(
            lambda: reservation.free_tokens(owner.book, "t0") == _LONG_TOKENS,
            _TIMEOUT_S,
        )

    async def test_new_owner_waits_for_grants_of_the_old_owner_to_expire(self):
        """Guards against memory granted by a dead owner and again by the next.

        The new owner grants nothing for one reservation lifetime.
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
                self.assertLess(time.monotonic() - stopped, _TIMEOUT_S)
                await asyncio.sleep(0.05)
        lifetime_s = entry.settings.targets.reservation_s
        self.assertGreaterEqual(time.monotonic() - stopped, lifetime_s)
