"""Settings of the stand-ins, except those of the platform stand-in.

An engine's speeds and durations of work are in simulated time, of which
`time_scale` seconds pass per real second. Its lags and retention times are in
real seconds.
"""

import dataclasses

from copperloom.settings import setting

__all__ = [
    "EngineSection",
    "EngineSettings",
    "ProxySection",
    "ProxySettings",
    "ServiceSection",
    "ServiceSettings",
]


@dataclasses.dataclass(frozen=True)
class EngineSection:
    """A model engine that batches continuously."""

    listen: str = setting("127.0.0.1:0", "Its address.", unit="IP:port")
    seed: int = setting(0, "Seed of what is random.")
    time_scale: float = setting(
        1.0, "Simulated seconds in a second.", low=0.01, high=1000
    )
    models: tuple[str, ...] = setting(
        (), "Models loaded at start; none takes any model."
    )
    kv_tokens: int = setting(400_000, "KV memory.", unit="tokens", low=1)
    prefill_tokens_per_s: float = setting(
        20_000.0, "Speed of prefill.", unit="tokens/s", low=1
    )
    chunk_tokens: int = setting(
        2048, "Most prompt tokens prefilled in a step.", unit="tokens", low=1
    )
    decode_ms: float = setting(
        20.0, "Time of a step that only decodes.", unit="ms", low=0.01
    )
    decode_stream_ms: float = setting(
        0.1, "Time that each stream adds to a step.", unit="ms", low=0
    )
    max_batch: int = setting(64, "Most streams in the batch.", low=1)
    max_waiting: int = setting(
        256, "Most streams that wait for the batch.", low=0
    )
    cache_tokens: int = setting(
        100_000, "Memory of the prefix cache.", unit="tokens", low=0
    )
    prefix_tokens: int = setting(
        1000, "Prompt tokens that a cached prefix saves.", unit="tokens", low=1
    )
    import_tokens_per_s: float = setting(
        200_000.0,
        "Speed of taking in another engine's KV.",
        unit="tokens/s",
        low=1,
    )
    report_lag_s: float = setting(
        0.2, "Least age of a load report; 0 reports at once.", unit="s", low=0
    )
    event_lag_s: float = setting(
        0.5, "Time before a cache event shows.", unit="s", low=0
    )
    event_loss: float = setting(
        0.05, "Share of cache events that are lost.", low=0, high=1
    )
    load_model_s: float = setting(5.0, "Time to load a model.", unit="s", low=0)
    checks_fencing: bool = setting(
        True, "Whether an order with an old fencing number is refused."
    )
    linger_s: float = setting(
        30.0, "How long a finished stream can be read.", unit="s", low=0
    )
    tombstone_s: float = setting(
        600.0, "How long a cancelled name is refused.", unit="s", low=0
    )


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """All settings of `copperloom-standin engine`."""

    engine: EngineSection


@dataclasses.dataclass(frozen=True)
class ServiceSection:
    """A plain service."""

    listen: str = setting("127.0.0.1:0", "Its address.", unit="IP:port")
    seed: int = setting(0, "Seed of what is random.")
    latency_ms: float = setting(5.0, "Mean time of a call.", unit="ms", low=0)
    max_running: int = setting(
        1000, "Calls above this many at once are refused.", low=1
    )


@dataclasses.dataclass(frozen=True)
class ServiceSettings:
    """All settings of `copperloom-standin service`."""

    service: ServiceSection


@dataclasses.dataclass(frozen=True)
class ProxySection:
    """A TCP proxy that injects faults."""

    listen: str = setting("127.0.0.1:0", "Its control address.", unit="IP:port")
    pairs: tuple[str, ...] = setting(
        (), "NAME=LISTEN>UPSTREAM for each pair.", unit="IP:port"
    )


@dataclasses.dataclass(frozen=True)
class ProxySettings:
    """All settings of `copperloom-standin proxy`."""

    proxy: ProxySection
