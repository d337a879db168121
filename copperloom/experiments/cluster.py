"""A complete system on one event loop, for the demo and for trials."""

import asyncio
import dataclasses
import secrets
import time

import msgspec

from copperloom import configuration, exception
from copperloom.daemons import entry, options
from copperloom.experiments import mixes, plan
from copperloom.platform import http as platform_http
from copperloom.platform import interface
from copperloom.standins import engine, service, settings
from copperloom.standins import platform as platform_standin

__all__ = ["Cluster", "change", "start", "stop", "wait_version"]

_CALL_TIMEOUT_S = 5.0
_ADOPTION_TIMEOUT_S = 15.0
_POLL_INTERVAL_S = 0.02


@dataclasses.dataclass
class Cluster:
    """A running system.

    Attributes:
        mix: The mix whose [cluster] section describes it.
        client: Client of the platform, with the rights of an operator.
        platform: The platform stand-in.
        engines: Engine stand-ins.
        services: Service stand-ins.
        entries: Entries.
        cfg: The configuration that was written last.
    """

    mix: mixes.LoadSettings
    client: interface.Platform | None = None
    platform: object = None
    engines: list = dataclasses.field(default_factory=list)
    services: list = dataclasses.field(default_factory=list)
    entries: list[entry.EntryService] = dataclasses.field(default_factory=list)
    cfg: configuration.Configuration = configuration.Configuration()

    def addresses(self) -> list[str]:
        """Returns the addresses at which the entries listen for callers."""
        return [service.listen for service in self.entries]


async def start(
    mix: mixes.LoadSettings,
    *,
    variant: plan.Variant = plan.Variant(),
    seed: int = 1,
) -> Cluster:
    """Starts the platform, targets and entries, and waits until they serve.

    Args:
        mix: The mix; its [cluster] section has the number of each.
        variant: Policy and mechanisms of the entries.
        seed: Seed of the stand-ins.
    """
    system = Cluster(mix)
    try:
        await _start_standins(system, seed)
        await change(system, plan.entities(mix, *_target_addresses(system)))
        for index in range(mix.cluster.entries):
            sections = plan.entry_sections(
                mix, index, _address(system.platform), variant
            )
            entry_settings = plan.make_settings(options.EntrySettings, sections)
            system.entries.append(await entry.start(entry_settings))
        await wait_version(system, system.cfg.version)
        if mix.cluster.engines:
            await asyncio.sleep(plan.WARM_UP_S)
    except BaseException:
        await stop(system)
        raise
    return system


async def stop(system: Cluster) -> None:
    """Stops everything, the entries first."""
    await asyncio.gather(*(service.stop() for service in system.entries))
    if system.client is not None:
        await system.client.close()
    standins = [*system.engines, *system.services, system.platform]
    await asyncio.gather(
        *(server.close() for server in standins if server is not None)
    )


async def change(
    system: Cluster, entities: list[configuration.Entity]
) -> float:
    """Writes one configuration change, as an operator would.

    Returns:
        The monotonic time at which the platform confirmed it.

    Raises:
        copperloom.exception.ChangeLostError: Another change was
            written first.
    """
    version = system.cfg.version + 1
    nonce = secrets.token_hex(8)
    puts = tuple(configuration.encode_entity(e) for e in entities)
    new_change = configuration.Change(
        version, nonce, "experiments", puts, wall_time_s=time.time()
    )
    head = {"version": version, "nonce": nonce}
    reply = await system.client.transact(
        [interface.Condition("config/head", version - 1)],
        [
            interface.Write("config/head", head),
            interface.Write(
                f"config/change/{version:012d}", msgspec.to_builtins(new_change)
            ),
            interface.Write(f"audit/{version:012d}", head),
        ],
        timeout_s=_CALL_TIMEOUT_S,
    )
    if not reply.committed:
        raise exception.ChangeLostError(f"version {version} was not committed")
    system.cfg = configuration.apply(system.cfg, new_change)
    return time.monotonic()


async def wait_version(system: Cluster, version: int) -> list[float]:
    """Waits until all entries have adopted a configuration version.

    Returns:
        The monotonic times at which the adoptions were observed.

    Raises:
        TimeoutError: Some entry did not adopt it within the timeout.
    """
    adopted_at: dict[int, float] = {}
    async with asyncio.timeout(_ADOPTION_TIMEOUT_S):
        while len(adopted_at) < len(system.entries):
            for index, service in enumerate(system.entries):
                if (
                    index not in adopted_at
                    and service.entry.cfg.version >= version
                ):
                    adopted_at[index] = time.monotonic()
            await asyncio.sleep(_POLL_INTERVAL_S)
    return list(adopted_at.values())


async def _start_standins(system: Cluster, seed: int) -> None:
    cluster = system.mix.cluster
    system.platform = await platform_standin.serve(
        plan.make_settings(platform_standin.PlatformStandinSettings, {})
    )
    system.client = platform_http.connect(_address(system.platform))
    for index in range(cluster.engines):
        sections = plan.engine_sections(system.mix, index, seed)
        standin_settings = plan.make_settings(settings.EngineSettings, sections)
        system.engines.append(await engine.serve(standin_settings))
    for index in range(cluster.services):
        sections = plan.service_sections(index, seed)
        standin_settings = plan.make_settings(
            settings.ServiceSettings, sections
        )
        system.services.append(await service.serve(standin_settings))


def _target_addresses(system: Cluster) -> tuple[list[str], list[str]]:
    return (
        [_address(server) for server in system.engines],
        [_address(server) for server in system.services],
    )


def _address(server) -> str:
    return server.addresses["listen"]
