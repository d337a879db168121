"""Settings of load mixes and of the systems they are sent to."""

import dataclasses

from copperloom.settings import setting

__all__ = [
    "ClusterSection",
    "LoadSection",
    "LoadSettings",
    "LongSection",
    "MiddleSection",
    "NetworkSection",
    "OrganisationsSection",
    "ServicesSection",
    "ShortSection",
    "organisation_names",
    "organisation_token",
]


@dataclasses.dataclass(frozen=True)
class LoadSection:
    """The load as a whole: rate, duration, time limits and prefixes."""

    name: str = setting("", "Name of the mix in results.", required=True)
    entries: tuple[str, ...] = setting(
        (), "Addresses of running entries; empty for trials.", unit="IP:port"
    )
    deployment: str = setting("assistant", "Deployment of the prompts.")
    rate_per_s: float = setting(
        20.0, "Requests offered.", unit="1/s", low=0.01, high=10_000
    )
    duration_s: float = setting(
        20.0, "Time over which requests arrive.", unit="s", low=0.1, high=86_400
    )
    warm_up_s: float = setting(
        0.0,
        "Requests that arrive before this are sent and not counted, unless "
        "they are lost.",
        unit="s",
        low=0,
        high=86_400,
    )
    time_limit_s: float = setting(
        30.0, "Time limit of each request.", unit="s", low=0.1, high=3600
    )
    grace_s: float = setting(
        5.0,
        "Wait past the time limit before a request counts as lost.",
        unit="s",
        low=0.1,
        high=600,
    )
    bytes_per_token: float = setting(
        4.0,
        "Prompt bytes sent for one token; as in the entries' settings.",
        unit="bytes",
        low=0.5,
        high=16,
    )
    prefixes: int = setting(
        4, "Prompt starts that an organisation uses again.", low=1, high=10_000
    )
    prefix_share: float = setting(
        0.5, "Share of prompts with such a start.", low=0, high=1
    )
    prefix_tokens: int = setting(
        512, "Length of such a start.", unit="tokens", low=1, high=100_000
    )


@dataclasses.dataclass(frozen=True)
class OrganisationsSection:
    """The organisations that send requests."""

    count: int = setting(10, "Organisations.", low=1, high=100_000)
    large: int = setting(3, "How many of them are large.", low=0, high=100_000)
    large_share: float = setting(
        0.7, "Share of requests that the large ones send.", low=0, high=1
    )


@dataclasses.dataclass(frozen=True)
class ShortSection:
    """Short prompts: questions, thumbnails, status checks."""

    share: float = setting(0.88, "Share of prompts.", low=0, high=1)
    low_tokens: int = setting(1_000, "Shortest.", unit="tokens", low=1)
    high_tokens: int = setting(16_000, "Longest.", unit="tokens", low=1)
    answer_tokens: int = setting(32, "Answer length.", unit="tokens", low=1)


@dataclasses.dataclass(frozen=True)
class MiddleSection:
    """Prompts between short and long: captions, a rule book."""

    share: float = setting(0.10, "Share of prompts.", low=0, high=1)
    low_tokens: int = setting(16_000, "Shortest.", unit="tokens", low=1)
    high_tokens: int = setting(100_000, "Longest.", unit="tokens", low=1)
    answer_tokens: int = setting(64, "Answer length.", unit="tokens", low=1)


@dataclasses.dataclass(frozen=True)
class LongSection:
    """Long prompts: contracts, manifests, audits, whole applications."""

    share: float = setting(0.02, "Share of prompts.", low=0, high=1)
    low_tokens: int = setting(100_000, "Shortest.", unit="tokens", low=1)
    high_tokens: int = setting(1_000_000, "Longest.", unit="tokens", low=1)
    answer_tokens: int = setting(128, "Answer length.", unit="tokens", low=1)
    once_share: float = setting(
        0.3, "Share that is marked not repeatable, with a key.", low=0, high=1
    )


@dataclasses.dataclass(frozen=True)
class ServicesSection:
    """Calls to plain services, which run no model."""

    share: float = setting(0.1, "Share of all requests.", low=0, high=1)
    name: str = setting("frames", "Name of the service.")
    once_share: float = setting(
        0.3, "Share that is marked not repeatable, with a key.", low=0, high=1
    )


@dataclasses.dataclass(frozen=True)
class NetworkSection:
    """Simulated one-way network delays."""

    client_ms: float = setting(
        1.0, "Between clients and entries.", unit="ms", low=0, high=10_000
    )
    between_ms: float = setting(
        1.5, "Between data centres.", unit="ms", low=0, high=10_000
    )


@dataclasses.dataclass(frozen=True)
class ClusterSection:
    """The system that a trial starts and sends its load to."""

    entries: int = setting(3, "Entries.", low=1, high=100)
    engines: int = setting(5, "Model engines.", low=1, high=100)
    services: int = setting(2, "Plain services.", low=0, high=100)
    data_centres: tuple[str, ...] = setting(
        ("a", "b", "c"), "Data centres, filled in turn."
    )
    kv_tokens: int = setting(
        400_000, "KV memory of an engine.", unit="tokens", low=1000
    )
    time_scale: float = setting(
        20.0,
        "How much faster than in reality the engines run.",
        low=0.01,
        high=1000,
    )


@dataclasses.dataclass(frozen=True)
class LoadSettings:
    """All settings of `copperloom-load`."""

    load: LoadSection
    organisations: OrganisationsSection
    short: ShortSection
    middle: MiddleSection
    long: LongSection
    services: ServicesSection
    network: NetworkSection
    cluster: ClusterSection


def organisation_names(mix: LoadSettings) -> list[str]:
    """Returns the names of a mix's organisations, large ones first."""
    return [f"org-{i:02d}" for i in range(mix.organisations.count)]


def organisation_token(name: str) -> str:
    """Returns the bearer token of an organisation's callers."""
    return f"token-{name}"
