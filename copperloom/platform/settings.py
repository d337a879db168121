"""Loads the settings file that the platform provides to each process."""

import dataclasses
import pathlib
from collections.abc import Mapping

import msgspec

from copperloom import exception

__all__ = ["ENVIRONMENT", "PlatformSettings", "load"]

# The environment variable that holds the path of the settings file.
ENVIRONMENT = "COPPERLOOM_SETTINGS"
_MS = 1000.0
_MEGABIT_BYTES = 125_000.0
# Default: 100 Mbit/s.
_LINK_BYTES_S = 12_500_000.0
_MEGABYTE_BYTES = 1_000_000.0
_MEMORY_BYTES = 1_000_000_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Identity, addresses and limits of this instance.

    Attributes:
        instance: Name of this instance.
        ip: IP address of this instance.
        data_centre: Data centre of this instance.
        callers_listen: IP:port for callers.
        readiness_listen: IP:port for the load balancer's readiness checks.
        peers_listen: IP:port for calls from other instances; "" if none.
        internal_ports: First and last port of the range that instances may
            use for traffic among themselves.
        seeds: IP:port of other instances' peers_listen; may be stale.
        store: IP:port of the platform's table service.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        drain_s: Time after which no request may reach a draining target, in
            seconds.
        retry_ratio: Retries allowed per request, over all instances.
        retry_window_s: Window over which retries are counted, in seconds.
        retry_slack: Retries allowed per window in addition to the ratio.
        free_s: Time within which unused reserved memory must be released, in
            seconds.
        reservation_max_s: Maximum lifetime of a reservation at an engine, in
            seconds.
        link_bytes_s: Bandwidth of this instance's link, in bytes per second.
        max_descriptors: Descriptors that this instance may open; 0 for the
            limit of the process.
        memory_bytes: Memory available to this instance, in bytes.
        cores: Processor time available to this instance, in cores.
        is_first_start: Whether the whole system starts for the first time.
        region: Region of this instance; "" if not given.
        regions: Regions by data centre.
        cold_over: Factor on the rate that cold targets bear, up to which all
            instances together may exceed it.
        cold_slack: Requests per second that a cold target bears in addition.
        evacuation_s: Time after which no request may reach a target of an
            evacuated data centre, in seconds.
    """

    instance: str
    ip: str
    data_centre: str
    callers_listen: str
    readiness_listen: str
    peers_listen: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    store: str
    grace_s: float
    drain_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    free_s: float
    reservation_max_s: float
    link_bytes_s: float = _LINK_BYTES_S
    max_descriptors: int = 0
    memory_bytes: float = _MEMORY_BYTES
    cores: float = 1.0
    is_first_start: bool = False
    region: str = ""
    regions: Mapping[str, str] = dataclasses.field(default_factory=dict)
    cold_over: float = 1.0
    cold_slack: float = 0.0
    evacuation_s: float = 5.0


class _Listen(msgspec.Struct):
    front: str
    readiness: str
    control: str = ""


class _Bounds(msgspec.Struct):
    grace_s: float = 8.0
    drain_ms: float = 2000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 20.0
    free_ms: float = 4000.0
    hold_max_ms: float = 20000.0
    cold_over: float = 1.0
    cold_slack: float = 0.0
    evac_ms: float = 5000.0


class _Platform(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    # Megabits per second; 0 if not specified.
    link_mbps: float = 0.0
    max_fds: int = 0
    memory_mb: float = 0.0
    # Share of a core, and the speed of that core as a multiple of a
    # reference core.
    cpu_share: float = 1.0
    cores: float = 1.0


class _File(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    internal_ports: tuple[int, int]
    platform: _Platform
    seeds: list[str] = []
    region: str = ""
    zones: dict[str, str] = {}
    bootstrap: bool = False
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def load(path: str) -> PlatformSettings:
    """Loads the settings of this instance from a file.

    Raises:
        copperloom.exception.SettingsError: The file can't be read or has an
            invalid field.
    """
    try:
        doc = msgspec.json.decode(pathlib.Path(path).read_bytes(), type=_File)
    except (OSError, msgspec.MsgspecError) as error:
        raise exception.SettingsError(f"{path}: {error}") from error
    bounds = doc.bounds
    return PlatformSettings(
        instance=doc.node_name,
        ip=doc.ip,
        data_centre=doc.zone,
        callers_listen=doc.listen.front,
        readiness_listen=doc.listen.readiness,
        peers_listen=doc.listen.control,
        internal_ports=doc.internal_ports,
        seeds=tuple(doc.seeds),
        store=doc.platform.address,
        grace_s=bounds.grace_s,
        drain_s=bounds.drain_ms / _MS,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_s=bounds.budget_window_s,
        retry_slack=bounds.budget_slack,
        free_s=bounds.free_ms / _MS,
        reservation_max_s=bounds.hold_max_ms / _MS,
        link_bytes_s=doc.limits.link_mbps * _MEGABIT_BYTES or _LINK_BYTES_S,
        max_descriptors=doc.limits.max_fds,
        memory_bytes=doc.limits.memory_mb * _MEGABYTE_BYTES or _MEMORY_BYTES,
        cores=round(doc.limits.cpu_share * doc.limits.cores, 3),
        is_first_start=doc.bootstrap,
        region=doc.region or doc.zones.get(doc.zone, ""),
        regions=doc.zones,
        cold_over=bounds.cold_over,
        cold_slack=bounds.cold_slack,
        evacuation_s=bounds.evac_ms / _MS,
    )
