"""Settings of `copperloom-entry`, described in docs/CONFIGURATION.md."""

import dataclasses

from copperloom.decisions import policies
from copperloom.settings import setting

__all__ = [
    "DecisionsSection",
    "EntrySection",
    "EntrySettings",
    "LimitsSection",
    "MembershipSection",
    "PlatformSection",
    "TargetsSection",
]


@dataclasses.dataclass(frozen=True)
class EntrySection:
    """Identity and addresses of the entry, logging, and draining."""

    instance: str = setting("", "Unique name of the instance.", required=True)
    data_centre: str = setting("", "Data centre of the instance.")
    listen: str = setting(
        "127.0.0.1:0", "Address for callers and operators.", unit="IP:port"
    )
    peers_listen: str = setting(
        "127.0.0.1:0", "Address for other entries.", unit="IP:port"
    )
    log_level: str = setting(
        "INFO",
        "Least level of log lines.",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )
    operator_token_sha256: str = setting(
        "",
        "Hex digest of the operators' bearer token; empty turns their calls "
        "off.",
    )
    drain_lag_s: float = setting(
        5.0,
        "How long a stopping entry goes on accepting, while the balancer "
        "learns that it is not ready.",
        unit="s",
        low=0,
        high=300,
    )
    drain_limit_s: float = setting(
        900.0,
        "Longest wait of a stopping entry for requests in progress.",
        unit="s",
        low=0,
        high=86400,
    )


@dataclasses.dataclass(frozen=True)
class PlatformSection:
    """Connection to the platform's services."""

    address: str = setting("", "Its address.", unit="IP:port", required=True)
    protocol: str = setting(
        "http", "Protocol module to use.", choices=("http",)
    )
    timeout_s: float = setting(
        2.0, "Time limit of one call.", unit="s", low=0.05, high=30
    )
    head_poll_s: float = setting(
        1.0,
        "Time between looks at the configuration's head.",
        unit="s",
        low=0.05,
        high=10,
    )
    instances_poll_s: float = setting(
        2.0,
        "Time between looks at the list of instances.",
        unit="s",
        low=0.05,
        high=60,
    )


@dataclasses.dataclass(frozen=True)
class MembershipSection:
    """Exchange of messages between entries and detection of failures."""

    exchange_s: float = setting(
        0.5, "Time between digests to a peer.", unit="s", low=0.05, high=10
    )
    exchange_fanout: int = setting(
        3, "Peers that get a digest each time.", low=1, high=64
    )
    suspect_s: float = setting(
        3.0,
        "Silence after which a peer counts as out of contact.",
        unit="s",
        low=0.2,
        high=60,
    )
    dead_s: float = setting(
        15.0,
        "Silence after which the streams of a peer may be cancelled.",
        unit="s",
        low=0.5,
        high=3600,
    )
    confirm_s: float = setting(
        8.0,
        "Longest time without proof that the configuration is the newest "
        "before this entry stops admitting.",
        unit="s",
        low=0.5,
        high=3600,
    )


@dataclasses.dataclass(frozen=True)
class LimitsSection:
    """Limits on requests, answers and idempotency records."""

    body_bytes: int = setting(
        16_000_000, "Largest body.", unit="bytes", low=1000, high=1_000_000_000
    )
    header_bytes: int = setting(
        65_536,
        "Largest head of a request, and most bytes of chunk lines and "
        "trailers beyond those that its body needs.",
        unit="bytes",
        low=1000,
        high=10_000_000,
    )
    header_timeout_s: float = setting(
        15.0,
        "Longest time from the first to the last byte of a head.",
        unit="s",
        low=0.1,
        high=3600,
    )
    idle_timeout_s: float = setting(
        75.0,
        "Time without a byte after which a connection is closed that is idle "
        "or receives a body.",
        unit="s",
        low=0.1,
        high=3600,
    )
    memory_bytes: int = setting(
        1_000_000_000,
        "Memory of the process; a quarter of it holds requests.",
        unit="bytes",
        low=64_000_000,
    )
    max_descriptors: int = setting(
        0,
        "Descriptors that the process may open, of which 200 are not used for "
        "connections to it; 0 for the limit of the process.",
        low=0,
    )
    bytes_per_token: float = setting(
        4.0, "Prompt bytes counted as one token.", low=0.5, high=16
    )
    default_max_tokens: int = setting(
        256,
        "Answer length where the caller sets none.",
        unit="tokens",
        low=1,
        high=1_000_000,
    )
    max_time_limit_s: float = setting(
        3600.0, "Longest time limit a caller may set.", unit="s", low=1
    )
    resumable_s: float = setting(
        10.0,
        "How long a resumable answer whose caller went away is kept; less "
        "than dead_s.",
        unit="s",
        low=0,
        high=3600,
    )
    gather_ms: float = setting(
        25.0,
        "Longest time that tokens of a fast stream are gathered before they "
        "are sent on; the first token is never held.",
        unit="ms",
        low=0,
        high=50,
    )
    answer_record_bytes: int = setting(
        65_536,
        "Largest answer kept for repeats under one idempotency key.",
        unit="bytes",
        low=0,
        high=1_000_000,
    )
    record_retention_s: float = setting(
        86_400.0,
        "How long an idempotency record is kept; a key may run again after.",
        unit="s",
        low=600,
        high=31_536_000,
    )


@dataclasses.dataclass(frozen=True)
class TargetsSection:
    """Connections to targets, load reports and reservations."""

    protocol: str = setting(
        "http", "Protocol module to use.", choices=("http",)
    )
    load_poll_s: float = setting(
        0.5, "Time between load reports.", unit="s", low=0.05, high=60
    )
    load_polls_per_s: float = setting(
        7.0,
        "Most load reports asked for in a second; with more targets the "
        "reports get older.",
        unit="1/s",
        low=1,
        high=1000,
    )
    connect_s: float = setting(
        1.0, "Time limit to connect.", unit="s", low=0.05, high=30
    )
    reclaim_poll_s: float = setting(
        2.0,
        "Time between looks at the streams of owned engines.",
        unit="s",
        low=0.05,
        high=60,
    )
    reservation_s: float = setting(
        10.0,
        "Life of a reservation that is not renewed.",
        unit="s",
        low=0.5,
        high=600,
    )


@dataclasses.dataclass(frozen=True)
class DecisionsSection:
    """Placement of requests; for experiments, not for production."""

    policy: str = setting(
        "copperloom",
        "Policy of placement; all but copperloom are baselines.",
        choices=policies.POLICIES,
    )
    disable: tuple[str, ...] = setting(
        (),
        "Mechanisms to switch off, out of: "
        + ", ".join(sorted(policies.MECHANISMS))
        + ".",
    )


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """All settings of `copperloom-entry`."""

    entry: EntrySection
    platform: PlatformSection
    membership: MembershipSection
    limits: LimitsSection
    targets: TargetsSection
    decisions: DecisionsSection = DecisionsSection()
