"""A whole system on one event loop in one process, for demo and trials."""

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

_CALL_S = 5.0
_READY_S = 15.0
_POLL_S = 0.02


@dataclasses.dataclass
class Cluster:
    """What runs.

    Attributes:
        mix: The mix that it was made for.
        client: The platform's functions, as an operator has them.
        platform: The platform stand-in.
        engines: Engine stand-ins.
        services: Service stand-ins.
        entries: Entries.
        cfg: The configuration that was last written.
    """

    mix: mixes.LoadSettings
    client: interface.Platform | None = None
    platform: object = None
    engines: list = dataclasses.field(default_factory=list)
    services: list = dataclasses.field(default_factory=list)
    entries: list[entry.EntryService] = dataclasses.field(default_factory=list)
    cfg: configuration.Configuration = configuration.Configuration()

    def addresses(self) -> list[str]:
        """Returns where the entries listen for callers."""
        return [one.listen for one in self.entries]


async def start(
    mix: mixes.LoadSettings,
    *,
    variant: plan.Variant = plan.Variant(),
    seed: int = 1,
) -> Cluster:
    """Starts platform, targets and entries, and waits until they serve.

    Args:
        mix: The mix; its [cluster] section tells how many of each.
        variant: Policy of the entries.
        seed: Seed of the stand-ins.
    """
    run = Cluster(mix)
    try:
        await _start_standins(run, seed)
        await change(run, plan.entities(mix, *_targets(run)))
        for index in range(mix.cluster.entries):
            sections = plan.entry_sections(
                mix, index, _listen(run.platform), variant
            )
            own = plan.make_settings(options.EntrySettings, sections)
            run.entries.append(await entry.start(own))
        await wait_version(run, run.cfg.version)
        if mix.cluster.engines:
            await asyncio.sleep(plan.WARM_UP_S)
    except BaseException:
        await stop(run)
        raise
    return run


async def stop(run: Cluster) -> None:
    """Stops everything, the entries first."""
    await asyncio.gather(*(one.stop() for one in run.entries))
    if run.client is not None:
        await run.client.close()
    standins = [*run.engines, *run.services, run.platform]
    await asyncio.gather(*(s.close() for s in standins if s is not None))


async def change(run: Cluster, entities: list[configuration.Entity]) -> float:
    """Makes one change of the configuration, as an operator would.

    Returns:
        The monotonic time at which the platform confirmed it.

    Raises:
        copperloom.exception.ChangeLostError: Another change came first.
    """
    version = run.cfg.version + 1
    nonce = secrets.token_hex(8)
    puts = tuple(configuration.encode_entity(e) for e in entities)
    made = configuration.Change(
        version, nonce, "experiments", puts, wall_time_s=time.time()
    )
    head = {"version": version, "nonce": nonce}
    got = await run.client.transact(
        [interface.Condition("config/head", version - 1)],
        [
            interface.Write("config/head", head),
            interface.Write(
                f"config/change/{version:012d}", msgspec.to_builtins(made)
            ),
            interface.Write(f"audit/{version:012d}", head),
        ],
        timeout_s=_CALL_S,
    )
    if not got.committed:
        raise exception.ChangeLostError(f"version {version} was not made")
    run.cfg = configuration.apply(run.cfg, made)
    return time.monotonic()


async def wait_version(run: Cluster, version: int) -> list[float]:
    """Waits until all entries have a version.

    Returns:
        The monotonic time at which each was seen to have it.

    Raises:
        TimeoutError: Some did not get it in time.
    """
    seen: dict[int, float] = {}
    async with asyncio.timeout(_READY_S):
        while len(seen) < len(run.entries):
            for index, one in enumerate(run.entries):
                if index not in seen and one.entry.cfg.version >= version:
                    seen[index] = time.monotonic()
            await asyncio.sleep(_POLL_S)
    return list(seen.values())


async def _start_standins(run: Cluster, seed: int) -> None:
    cluster = run.mix.cluster
    run.platform = await platform_standin.serve(
        plan.make_settings(platform_standin.PlatformStandinSettings, {})
    )
    run.client = platform_http.connect(_listen(run.platform))
    for index in range(cluster.engines):
        sections = plan.engine_sections(run.mix, index, seed)
        own = plan.make_settings(settings.EngineSettings, sections)
        run.engines.append(await engine.serve(own))
    for index in range(cluster.services):
        sections = plan.service_sections(index, seed)
        own = plan.make_settings(settings.ServiceSettings, sections)
        run.services.append(await service.serve(own))


def _targets(run: Cluster) -> tuple[list[str], list[str]]:
    return (
        [_listen(one) for one in run.engines],
        [_listen(one) for one in run.services],
    )


def _listen(server) -> str:
    return server.addresses["listen"]
