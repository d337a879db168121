"""Test fixtures: an entry's state connected to stand-in engines."""

import asyncio

from copperloom import configuration, messages
from copperloom.controllers import reservation_owners
from copperloom.daemons import options
from copperloom.daemons.state import EntryState
from copperloom.standins.tests import fixtures

__all__ = [
    "configuration_of",
    "entry_state",
    "placement",
    "start_engines",
    "target",
]

DEAD_S = 0.5


async def start_engines(case, count: int, **changes) -> dict:
    """Starts stand-in engines and returns their servers by target name."""
    return {
        f"g{i}": await fixtures.start_engine(case, **changes)
        for i in range(count)
    }


async def entry_state(
    case,
    addresses: dict[str, str],
    *,
    instance: str = "e0",
    platform=None,
    polls_per_s: float = 50.0,
) -> EntryState:
    """Returns the state of an entry that owns all engines.

    Args:
        case: Test case whose cleanup ends the client and background tasks.
        addresses: Addresses of the engines, by target name.
        instance: Name of the entry's instance.
        platform: Client of the platform, if the test needs one.
        polls_per_s: Maximum number of load reports requested per second.
    """
    settings = options.EntrySettings(
        options.EntrySection(instance=instance),
        options.PlatformSection(address="127.0.0.1:9"),
        options.MembershipSection(dead_s=DEAD_S),
        options.LimitsSection(),
        options.TargetsSection(load_poll_s=0.05, load_polls_per_s=polls_per_s),
    )
    targets = await fixtures.connect_targets(case)
    state = EntryState(settings, platform, targets)
    state.cfg = configuration.Configuration(
        version=1,
        targets={
            name: target(name, address) for name, address in addresses.items()
        },
    )

    async def stop():
        for task in list(state.background):
            task.cancel()
        await asyncio.gather(*state.background, return_exceptions=True)

    case.addAsyncCleanup(stop)
    await reservation_owners.step(state, asyncio.get_running_loop().time())
    return state


def target(name: str, address: str, **changes) -> configuration.Target:
    """Returns the configuration of a small engine that serves model m."""
    fields = {"serves": ("m",), "kv_tokens": 10_000, **changes}
    return configuration.Target(name, address, **fields)


def configuration_of(count: int) -> configuration.Configuration:
    """Returns a configuration with many engines."""
    names = [f"g{i}" for i in range(count)]
    return configuration.Configuration(
        targets={name: target(name, "127.0.0.1:9") for name in names}
    )


def placement(names: list[str], tokens: list[int]) -> messages.Placement:
    """Returns the placement of a long request on several targets."""
    req = messages.Request(
        id="e0.b.1",
        organisation="org",
        weight=1.0,
        deployment="chat",
        kind=configuration.TargetKind.ENGINE,
        model="m",
        prompt_tokens=sum(tokens),
        max_tokens=20,
        arrived=0.0,
        deadline=60.0,
        version=1,
    )
    return messages.Placement(req, tuple(names), tuple(tokens), 0, long=True)
