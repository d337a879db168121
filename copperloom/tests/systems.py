"""Starts a small system for tests: platform, targets and entries."""

import dataclasses
import hashlib
import time

import msgspec

from copperloom import configuration
from copperloom.tests import processes

__all__ = ["System", "seed_configuration", "start_system", "token_of"]

MODEL = "m1"
CHAT = "chat"
SERVICE = "ledger"
ORGANISATIONS = ("org-a", "org-b")
OPERATOR_TOKEN = "operator"  # noqa: S105


@dataclasses.dataclass
class System:
    """A running system.

    Attributes:
        platform: The platform stand-in.
        engines: Engine stand-ins by target name.
        services: Service stand-ins by target name.
        entries: Entries by instance name.
        proxy: Fault proxy, if any. A link has the name of the target behind
            it, or platform-INSTANCE for an entry's link to the platform.
        kv_tokens: KV memory of each engine, in tokens.
    """

    platform: processes.Process
    engines: dict[str, processes.Process]
    services: dict[str, processes.Process]
    entries: dict[str, processes.Process]
    proxy: processes.Process | None = None
    kv_tokens: int = 400_000

    def targets(self) -> dict[str, processes.Process]:
        """Returns the engines and services by name."""
        return self.engines | self.services


def token_of(organisation: str) -> str:
    """Returns the bearer token of an organisation in tests."""
    return f"token-{organisation}"


def start_system(
    case,
    *,
    entries: int = 2,
    engines: int = 2,
    services: int = 1,
    proxies: tuple[str, ...] = (),
    engine: dict | None = None,
    entry: dict[str, dict] | None = None,
    short_floor: float = 0.4,
) -> System:
    """Starts a system and waits until its entries serve.

    Args:
        case: A test case or its class.
        entries: Number of entries, named e0, e1 and so on.
        engines: Number of engines, named g0, g1 and so on.
        services: Number of plain services, named s0, s1 and so on.
        proxies: Links that lead through a fault proxy: "platform" (one link
            per entry), "engines", "services".
        engine: Settings of the engines.
        entry: Settings of the entries by section.
        short_floor: Share of the engines that the presets keep free of long
            work.
    """
    system = System(
        processes.launch(
            case,
            "platform",
            {"platform": {"list_lag_s": 0.3, "instance_ttl_s": 3}},
        ),
        {
            f"g{i}": processes.launch(
                case, "engine", {"engine": engine or {}}, name=f"g{i}"
            )
            for i in range(engines)
        },
        {
            f"s{i}": processes.launch(case, "service", {}, name=f"s{i}")
            for i in range(services)
        },
        {},
    )
    system.kv_tokens = (engine or {}).get("kv_tokens", system.kv_tokens)
    _launch_proxy(case, system, entries, proxies)
    seed_configuration(system, short_floor)
    for i in range(entries):
        add_entry(case, system, f"e{i}", entry or {})
    for process in system.entries.values():
        wait_ready(process)
        wait_for_contacts(process, entries)
    return system


def _launch_proxy(case, system: System, entries: int, links) -> None:
    upstreams = {}
    if "platform" in links:
        upstreams |= {f"platform-e{i}": system.platform for i in range(entries)}
    if "engines" in links:
        upstreams |= system.engines
    if "services" in links:
        upstreams |= system.services
    if not upstreams:
        return
    pairs = ", ".join(
        f"{name}=127.0.0.1:0>{process.address}"
        for name, process in upstreams.items()
    )
    system.proxy = processes.start_standin(
        case, "proxy", proxy={"pairs": pairs}
    )


def address_of(system: System, name: str) -> str:
    """Returns the address of a target, or of the proxy in front of it."""
    return _links(system).get(name) or system.targets()[name].address


def _links(system: System) -> dict[str, str]:
    return system.proxy.addresses if system.proxy else {}


def add_entry(
    case, system: System, instance: str, sections: dict[str, dict]
) -> processes.Process:
    """Launches an additional entry, or restarts one that exited."""
    proxy_address = _links(system).get(f"platform-{instance}")
    platform = proxy_address or system.platform.address
    merged = dict(sections)
    merged["entry"] = {
        "instance": instance,
        "operator_token_sha256": digest(OPERATOR_TOKEN),
    } | merged.get("entry", {})
    process = processes.launch_entry(case, platform, **merged)
    system.entries[instance] = process
    return process


def wait_ready(process: processes.Process) -> None:
    """Waits until an entry reports that it is ready."""
    processes.wait_until(
        lambda: process.call("GET", "/ready") is not None,
        processes.READY_LIMIT_S,
        f"{process.name} ready",
    )


def wait_for_contacts(process: processes.Process, entries: int) -> None:
    """Waits until an entry is in contact with all others.

    An entry that does not know the whole fleet accepts no changes.
    """

    def in_contact() -> bool:
        status = processes.call(
            process.address, "GET", "/admin/v1/status", token=OPERATOR_TOKEN
        )
        return status["knows_the_fleet"] and status["contacts"] == entries

    processes.wait_until(
        in_contact,
        processes.READY_LIMIT_S,
        f"{process.name} in contact with the others",
    )


def digest(text: str) -> str:
    """Returns the hex digest of a token, as stored in the configuration."""
    return hashlib.sha256(text.encode()).hexdigest()


def seed_configuration(system: System, short_floor: float) -> None:
    """Writes configuration version 1 directly to the platform's table."""
    puts = [
        configuration.encode_entity(e) for e in _entities(system, short_floor)
    ]
    change = configuration.Change(
        1, "seed", "tests", tuple(puts), wall_time_s=time.time()
    )
    write_change(system, change)


def write_change(system: System, change: configuration.Change) -> bool:
    """Writes a change if the head version matches; returns whether it did."""
    head_version = change.version - 1
    writes = {
        "config/head": {"version": change.version, "nonce": change.nonce},
        f"config/change/{change.version:012d}": msgspec.to_builtins(change),
    }
    reply = system.platform.call(
        "POST",
        "/table/transact",
        {
            "conditions": [{"key": "config/head", "version": head_version}],
            "writes": [{"key": k, "value": v} for k, v in writes.items()],
        },
    )
    return reply["committed"]


def _entities(system: System, short_floor: float) -> list:
    entities = [
        configuration.Organisation(name, digest(token_of(name)))
        for name in ORGANISATIONS
    ]
    entities.append(configuration.Deployment(CHAT, model=MODEL))
    entities.append(
        configuration.Deployment(SERVICE, configuration.TargetKind.SERVICE)
    )
    for name in ("ordinary", "peak"):
        entities.append(configuration.Preset(name, short_floor=short_floor))
    entities.append(configuration.PresetInForce("ordinary"))
    for name in system.engines:
        entities.append(target(system, name))
    for name in system.services:
        entities.append(target(system, name))
    return entities


def target(
    system: System,
    name: str,
    state: configuration.TargetState = configuration.TargetState.ADMITTED,
) -> configuration.Target:
    """Builds the configuration entity of a target."""
    is_engine = name in system.engines
    kinds = configuration.TargetKind
    return configuration.Target(
        name,
        address_of(system, name),
        "a",
        kinds.ENGINE if is_engine else kinds.SERVICE,
        (MODEL if is_engine else SERVICE,),
        kv_tokens=system.kv_tokens,
        state=state,
    )
