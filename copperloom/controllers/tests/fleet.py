"""Several entries' control in one process, against a platform process."""

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
    "cut_peers",
    "cut_platform",
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
_DEAD = "127.0.0.1:1"


class _Cut(dict):
    """Connections of which those to some addresses are refused."""

    def __init__(self):
        super().__init__()
        self.addresses: set[str] = set()

    def get(self, address, default=None):
        if address in self.addresses:
            return grpclib.client.Channel("127.0.0.1", 1)
        return super().get(address, default)


async def start_fleet(case, platform: fixtures.Standin, count: int) -> list:
    """Starts entries and waits until all know and hear each other."""
    fleet = [await start(case, platform.address, f"e{i}") for i in range(count)]

    def met() -> bool:
        return all(
            config.evidence(e, time.monotonic()).contacts == count
            and e.cfg_loaded
            for e in fleet
        )

    await fixtures.until(met)
    return fleet


async def start(case, platform: str, instance: str, *, peers: str = ""):
    """Starts the control of one entry: peers' server, config and members."""
    sections = {name: dict(keys) for name, keys in _SECTIONS.items()}
    entry = fixtures.entry_state(case, platform, instance, **sections)
    if peers:
        object.__setattr__(entry.settings.entry, "peers_listen", peers)
    entry.membership.channels.open = _Cut()
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
    """Ends an entry at once, as if its process died; safe to repeat."""
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


def cut_platform(case, entry) -> None:
    """Cuts an entry from the platform: connections are refused."""
    case.addAsyncCleanup(entry.platform.close)
    entry.platform = http.connect(_DEAD)
    case.addAsyncCleanup(entry.platform.close)


def cut_peers(side: list, other: list) -> None:
    """Cuts two groups of entries from each other, in both directions."""
    for one, two in ((side, other), (other, side)):
        for entry in one:
            connections = entry.membership.channels.open
            for peer in two:
                connections.addresses.add(peer.peers_address)
                channel = connections.pop(peer.peers_address, None)
                if channel is not None:
                    channel.close()


def admits(entry) -> bool:
    """Returns whether an entry would admit work now."""
    try:
        config.may_admit(entry, time.monotonic())
    except exception.StaleConfigurationError:
        return False
    return True
