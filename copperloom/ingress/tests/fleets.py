"""Starts large fleets for tests, and disturbs what their instances exchange."""

import asyncio
import dataclasses
import time
import unittest
from collections.abc import Iterable
from unittest import mock

from copperloom.decisions import members, shards
from copperloom.ingress import gossip, placement_rpc, server
from copperloom.ingress.tests import fixtures
from copperloom.platform import catalog, settings

__all__ = [
    "DATA_CENTRES",
    "OWNERS",
    "SIZE",
    "START_LIMIT_S",
    "hold_datagrams",
    "index",
    "put_member_rows",
    "ranked_owners",
    "silence",
    "start_fleet",
    "uneven_fleet",
]

# Stays a large fleet if some instances are lost.
SIZE = shards.MAX_SMALL_FLEET + 4
# Of an uneven fleet: these have more processor time than the others and thus
# own the shards of their data centres.
OWNERS = 9
DATA_CENTRES = ("a", "b", "c")
START_LIMIT_S = 20.0


async def start_fleet(case, data_centres=("a",), **changes) -> fixtures.System:
    """Starts a large fleet; returns it once all instances know the owners."""
    small_shards = mock.patch.object(shards, "MIN_SHARD_TARGETS", 1)
    small_shards.start()
    case.addCleanup(small_shards.stop)
    system = await fixtures.start_system(case, fronts=0, **changes)
    for number in range(SIZE):
        data_centre = data_centres[number % len(data_centres)]
        await system.add_front(data_centre=data_centre)
    await fixtures.until(
        lambda: all(
            server.is_ready(f.entry)
            and f.entry.peers_synced.is_set()
            and len(f.entry.members) == SIZE - 1
            for f in system.fronts
        ),
        limit_s=START_LIMIT_S,
    )
    await fixtures.until(
        lambda: all(_knows_live_owners(f.entry) for f in system.fronts),
        limit_s=START_LIMIT_S,
    )
    return system


def _knows_live_owners(entry) -> bool:
    now = asyncio.get_running_loop().time()
    own = entry.settings
    order = placement_rpc.owner_order(
        entry, shards.Shard("engines", own.data_centre)
    )
    return all(
        members.is_live(entry.members[name], now)
        for name in order[: shards.OWNERS]
        if name != own.instance
    )


def ranked_owners(system: fixtures.System) -> list[str]:
    """Returns the instances that may own a shard, in order of precedence."""
    entry = system.fronts[0].entry
    return placement_rpc.owner_order(entry, shards.Shard("engines", "a"))


def index(system: fixtures.System, name: str) -> int:
    """Returns the number of an instance."""
    names = [f.entry.settings.instance for f in system.fronts]
    return names.index(name)


def silence(system: fixtures.System, name: str) -> None:
    """Drops all datagrams to and from an instance."""
    protocol = system.fronts[index(system, name)].gossip
    protocol.datagram_received = lambda data, addr: None
    protocol.send = lambda data, address: None
    protocol.state.send = protocol.send


def uneven_fleet(store: str, seeds: slice) -> list[settings.PlatformSettings]:
    """Returns the settings of a fleet whose first instances are the owners.

    Args:
        store: Address of the table service.
        seeds: The instances that the others ask for members.
    """
    fleet = [
        fixtures.own_settings(
            fixtures.next_ip(),
            store,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            cores=2.0 if number < OWNERS else 0.5,
        )
        for number in range(SIZE)
    ]
    asked = tuple(own.peers_listen for own in fleet[seeds])
    return [dataclasses.replace(own, seeds=asked) for own in fleet]


def put_member_rows(
    system: fixtures.System,
    owners: Iterable[settings.PlatformSettings],
    fleet: int,
) -> None:
    """Writes the rows of shard owners, as left over from an earlier run.

    Args:
        system: The system.
        owners: Settings of the owners.
        fleet: Number of instances.
    """
    for own in owners:
        row = catalog.MemberRow(
            own.instance,
            "earlier",
            f"{own.ip}:{own.internal_ports[0]}",
            own.peers_listen,
            own.data_centre,
            own.cores,
            fleet,
        )
        system.store.put(
            catalog.MEMBERS_TABLE, own.instance, catalog.encode_member(row)
        )


def hold_datagrams(case: unittest.TestCase, seconds: float) -> None:
    """Holds all datagrams between instances back for some time from now."""
    receive = gossip.Gossip.datagram_received
    until = time.monotonic() + seconds

    def receive_later(protocol, data, addr):
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, until - time.monotonic())
        loop.call_later(delay_s, receive, protocol, data, addr)

    patch = mock.patch.object(gossip.Gossip, "datagram_received", receive_later)
    patch.start()
    case.addCleanup(patch.stop)
