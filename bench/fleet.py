"""Starts platform, engines, services and entries as processes.

This belongs to the tests, because no program of the product starts another
process.
"""

import contextlib
import dataclasses
import http
import time
import urllib.request

import msgspec

from copperloom import configuration
from copperloom.experiments import mixes, plan
from copperloom.tests import processes

__all__ = ["Fleet", "start"]

_MS = 1e-3
_READY_TIMEOUT_S = 30.0
_CALL_TIMEOUT_S = 5.0


class Cleanups(contextlib.ExitStack):
    """Stands in for a test case where the tests' fixtures add clean-ups."""

    def addCleanup(self, function, *args) -> None:  # noqa: N802
        """Registers a clean-up; the last one runs first."""
        self.callback(function, *args)


@dataclasses.dataclass
class Fleet:
    """The processes of a running fleet.

    Attributes:
        entries: The entries.
        engines: The engine stand-ins.
        services: The service stand-ins.
        platform: The platform stand-in.
    """

    entries: list[processes.Process]
    engines: list[processes.Process]
    services: list[processes.Process]
    platform: processes.Process

    def addresses(self) -> list[str]:
        """Returns the addresses at which the entries listen for callers."""
        return [entry.address for entry in self.entries]


def start(
    cleanups: Cleanups,
    mix: mixes.LoadSettings,
    variant: plan.Variant,
    *,
    seed: int,
) -> Fleet:
    """Starts a fleet and waits until its entries are ready.

    Args:
        cleanups: Ends the processes.
        mix: The mix, whose [cluster] section sets the number of processes of
            each kind.
        variant: Policy of the entries.
        seed: Seed of the stand-ins.
    """
    platform = processes.launch(cleanups, "platform", {})
    engines = [
        _launch(
            cleanups,
            configuration.TargetKind.ENGINE,
            i,
            plan.engine_sections(mix, i, seed),
        )
        for i in range(mix.cluster.engines)
    ]
    services = [
        _launch(
            cleanups,
            configuration.TargetKind.SERVICE,
            i,
            plan.service_sections(i, seed),
        )
        for i in range(mix.cluster.services)
    ]
    addresses = _target_addresses(cleanups, mix, engines + services)
    _configure(
        platform, mix, addresses[: len(engines)], addresses[len(engines) :]
    )
    entries = [
        processes.launch(
            cleanups,
            "entry",
            _ini(plan.entry_sections(mix, i, platform.address, variant)),
            name=f"entry-{i:02d}",
        )
        for i in range(mix.cluster.entries)
    ]
    for entry in entries:
        processes.wait_until(
            lambda entry=entry: _is_ready(entry),
            _READY_TIMEOUT_S,
            f"{entry.name} is ready",
        )
    time.sleep(plan.WARM_UP_S)
    return Fleet(entries, engines, services, platform)


def _is_ready(entry: processes.Process) -> bool:
    url = f"http://{entry.address}/ready"
    with urllib.request.urlopen(url, timeout=_CALL_TIMEOUT_S) as reply:
        return reply.status == http.HTTPStatus.OK


def _launch(cleanups, kind, index: int, sections) -> processes.Process:
    name = plan.target_name(kind, index)
    return processes.launch(cleanups, kind.value, _ini(sections), name=name)


def _target_addresses(cleanups, mix, targets) -> list[str]:
    """Returns the addresses at which the entries reach the targets.

    With a delay between data centres, these are addresses of a proxy. The
    delay is the same for all entries, since a target has only one address.
    """
    if not mix.network.between_ms or not targets:
        return [target.address for target in targets]
    pairs = ", ".join(
        f"{target.name}=127.0.0.1:0>{target.address}" for target in targets
    )
    proxy = processes.launch(cleanups, "proxy", {"proxy": {"pairs": pairs}})
    addresses = [proxy.addresses[target.name] for target in targets]
    proxy.control(delay_s=mix.network.between_ms * _MS)
    return addresses


def _configure(platform, mix, engines: list[str], services: list[str]) -> None:
    """Writes the first configuration, directly to the platform's table."""
    puts = [
        configuration.encode_entity(e)
        for e in plan.entities(mix, engines, services)
    ]
    change = configuration.Change(1, "seed", "trial", tuple(puts))
    writes = [
        {"key": "config/head", "value": {"version": 1, "nonce": "seed"}},
        {
            "key": "config/change/000000000001",
            "value": msgspec.to_builtins(change),
        },
    ]
    platform.call(
        "POST", "/table/transact", {"conditions": [], "writes": writes}
    )


def _ini(sections: plan.Sections) -> plan.Sections:
    """Returns the sections with lists in the form of an INI file."""
    return {
        name: {
            key: ", ".join(value) if isinstance(value, tuple) else value
            for key, value in values.items()
        }
        for name, values in sections.items()
    }
