"""Runs the control loops of several entries in this process for tests."""

import asyncio
import time
import types

import grpclib.client

from copperloom import exception
from copperloom.controllers import config, membership, reservation_owners
from copperloom.controllers.tests import fixtures
from copperloom.peers import server
from copperloom.platform import http

__all__ = [
    "admits",
    "disconnect_platform",
    "partition",
    "start",
    "start_fleet",
    "stop",
]

PLATFORM_KEYS = {"list_lag_s": 0.2, "instance_ttl_s": 2.0}
_SECTIONS = {
    "platform": {
        "head_poll_s": 0.1,
        "instances_poll_s": 0.2,
        "timeout_s": 0.5,
    },
    "membership": {
        "exchange_s": 0.1,
        "suspect_s": 1.0,
        "dead_s": 2.0,
        "confirm_s": 1.2,
    },
    "targets": {"reservation_s": 0.6},
}
_CLOSED_ADDRESS = "127.0.0.1:1"


class _PartitionedChannels(dict):
    """Channels to peers; those to blocked addresses lead to a closed port."""

    def __init__(self):
        super().__init__()
        self.blocked: set[str] = set()

    def get(self, address, default=None):
        if address in self.blocked:
            return grpclib.client.Channel("127.0.0.1", 1)
        return super().get(address, default)


async def start_fleet(case, platform: fixtures.Standin, count: int) -> list:
    """Starts entries and waits until each is in contact with all others."""
    fleet = [await start(case, platform.address, f"e{i}") for i in range(count)]

    def are_in_contact() -> bool:
        return all(
            config.evidence(e, time.monotonic()).contacts == count
            and e.cfg_loaded
            for e in fleet
        )

    await fixtures.until(are_in_contact)
    return fleet


async def start(case, platform: str, instance: str, *, peers: str = ""):
    """Starts the peer server and the control loops of one entry.

    Args:
        case: The test case, which stops the entry.
        platform: IP:port of the platform.
        instance: The entry's instance name.
        peers: IP:port where it listens for peers; a free port if empty.
    """
    sections = {name: dict(keys) for name, keys in _SECTIONS.items()}
    entry = fixtures.entry_state(case, platform, instance, **sections)
    if peers:
        object.__setattr__(entry.settings.entry, "peers_listen", peers)
    entry.membership.channels.open = _PartitionedChannels()
    entry.targets = types.SimpleNamespace(streams=_no_streams)
    entry.peers_server, _ = await server.serve(entry)
    own = entry.settings
    entry.loops = [
        asyncio.create_task(_repeat(entry, step, every_s))
        for step, every_s in (
            (config.step, own.platform.head_poll_s),
            (membership.step, own.membership.exchange_s),
            (reservation_owners.step, own.targets.reservation_s / 4),
        )
    ]
    case.addAsyncCleanup(stop, entry)
    return entry


async def stop(entry) -> None:
    """Stops an entry abruptly, as a crash of its process would.

    Safe to call more than once.
    """
    for task in entry.loops:
        task.cancel()
    await asyncio.gather(*entry.loops, return_exceptions=True)
    entry.peers_server.close()
    await entry.peers_server.wait_closed()


async def _no_streams(address, *, timeout_s):
    return []


async def _repeat(entry, step, every_s) -> None:
    while True:
        try:
            await step(entry, time.monotonic())
        except exception.CopperloomError:
            pass
        await asyncio.sleep(every_s)


def disconnect_platform(case, entry) -> None:
    """Disconnects an entry from the platform: its connections are refused."""
    case.addAsyncCleanup(entry.platform.close)
    entry.platform = http.connect(_CLOSED_ADDRESS)
    case.addAsyncCleanup(entry.platform.close)


def partition(left: list, right: list) -> None:
    """Partitions two groups of entries from each other in both directions."""
    for senders, receivers in ((left, right), (right, left)):
        for entry in senders:
            channels = entry.membership.channels.open
            for peer in receivers:
                channels.blocked.add(peer.peers_address)
                channel = channels.pop(peer.peers_address, None)
                if channel is not None:
                    channel.close()


def admits(entry) -> bool:
    """Returns whether an entry admits new work now."""
    try:
        config.check_admission(entry, time.monotonic())
    except exception.StaleConfigurationError:
        return False
    return True
