"""Starts a small running system: platform, targets and entries."""

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
        proxy: The fault proxy, if any. Its links are named by the target
            behind them, or platform-INSTANCE for an entry's own way to the
            platform.
        kv_tokens: KV memory of each engine.
    """

    platform: processes.Process
    engines: dict[str, processes.Process]
    services: dict[str, processes.Process]
    entries: dict[str, processes.Process]
    proxy: processes.Process | None = None
    kv_tokens: int = 400_000

    def targets(self) -> dict[str, processes.Process]:
        """Engines and services by name."""
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
        entries: How many entries, named e0, e1 and so on.
        engines: How many engines, named g0 and so on.
        services: How many plain services, named s0 and so on.
        proxies: Which links lead through a fault proxy: "platform" (one for
            each entry), "engines", "services".
        engine: Settings of the engines.
        entry: Settings of the entries by section.
        short_floor: The presets' share of engines kept free of long work.
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
        wait_met(process, entries)
    return system


def _launch_proxy(case, system: System, entries: int, links) -> None:
    behind = {}
    if "platform" in links:
        behind |= {f"platform-e{i}": system.platform for i in range(entries)}
    if "engines" in links:
        behind |= system.engines
    if "services" in links:
        behind |= system.services
    if not behind:
        return
    pairs = ", ".join(
        f"{name}=127.0.0.1:0>{process.address}"
        for name, process in behind.items()
    )
    system.proxy = processes.start_standin(
        case, "proxy", proxy={"pairs": pairs}
    )


def way_to(system: System, name: str) -> str:
    """Returns the address of a target, or of the proxy before it."""
    return _links(system).get(name) or system.targets()[name].address


def _links(system: System) -> dict[str, str]:
    return system.proxy.addresses if system.proxy else {}


def add_entry(
    case, system: System, instance: str, sections: dict[str, dict]
) -> processes.Process:
    """Launches one more entry, or a new boot of one that ended."""
    way = _links(system).get(f"platform-{instance}")
    platform = way or system.platform.address
    merged = dict(sections)
    merged["entry"] = {
        "instance": instance,
        "operator_token_sha256": digest(OPERATOR_TOKEN),
    } | merged.get("entry", {})
    process = processes.launch_entry(case, platform, **merged)
    system.entries[instance] = process
    return process


def wait_ready(process: processes.Process) -> None:
    """Waits until an entry says that it serves."""
    processes.wait_until(
        lambda: process.call("GET", "/ready") is not None,
        processes.READY_LIMIT_S,
        f"{process.name} serves",
    )


def wait_met(process: processes.Process, entries: int) -> None:
    """Waits until an entry is in contact with all others.

    Before that it takes no change, since it does not know the fleet.
    """

    def met() -> bool:
        status = processes.call(
            process.address, "GET", "/admin/v1/status", token=OPERATOR_TOKEN
        )
        return status["knows_the_fleet"] and status["contacts"] == entries

    processes.wait_until(
        met, processes.READY_LIMIT_S, f"{process.name} has met the others"
    )


def digest(text: str) -> str:
    """Returns the hex digest that the configuration keeps of a token."""
    return hashlib.sha256(text.encode()).hexdigest()


def seed_configuration(system: System, short_floor: float) -> None:
    """Writes version 1 straight into the platform's table."""
    puts = [
        configuration.encode_entity(e) for e in _entities(system, short_floor)
    ]
    change = configuration.Change(
        1, "seed", "tests", tuple(puts), wall_time_s=time.time()
    )
    write_change(system, change)


def write_change(system: System, change: configuration.Change) -> bool:
    """Writes a change as an operator would, on condition of the head."""
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
    out = [
        configuration.Organisation(name, digest(token_of(name)))
        for name in ORGANISATIONS
    ]
    out.append(configuration.Deployment(CHAT, model=MODEL))
    out.append(
        configuration.Deployment(SERVICE, configuration.TargetKind.SERVICE)
    )
    for name in ("ordinary", "peak"):
        out.append(configuration.Preset(name, short_floor=short_floor))
    out.append(configuration.PresetInForce("ordinary"))
    for name in system.engines:
        out.append(target(system, name))
    for name in system.services:
        out.append(target(system, name))
    return out


def target(
    system: System,
    name: str,
    state: configuration.TargetState = configuration.TargetState.ADMITTED,
) -> configuration.Target:
    """Returns the configuration's line about a target."""
    is_engine = name in system.engines
    kinds = configuration.TargetKind
    return configuration.Target(
        name,
        way_to(system, name),
        "a",
        kinds.ENGINE if is_engine else kinds.SERVICE,
        (MODEL if is_engine else SERVICE,),
        kv_tokens=system.kv_tokens,
        state=state,
    )
