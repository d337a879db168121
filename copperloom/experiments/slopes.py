"""Measures the unit costs of configurations and digests.

Each function measures in this process and returns `Figure`s. Times are
processor times, as the median of several rounds. Memory is the amount that the
allocator handed out, which does not depend on earlier work of the process.
"""

import dataclasses
import gc
import hashlib
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec

from copperloom import configuration
from copperloom.experiments import sizes
from copperloom.peers import peers_pb2

__all__ = [
    "Figure",
    "change_figures",
    "configuration_of",
    "digest",
    "digest_figures",
    "memory_figures",
    "processor_s",
    "snapshot_figures",
]

_ROUNDS = 7
_ITEMS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
        name: Name of the quantity.
        value: The measured value.
        unit: Unit of the value.
    """

    name: str
    value: float
    unit: str


def organisation(index: int) -> configuration.Organisation:
    """Returns the organisation with an index."""
    name = f"organisation-{index:05d}"
    secret = hashlib.sha256(name.encode()).hexdigest()
    return configuration.Organisation(name, secret, limit_tokens_per_s=1000.0)


def target(index: int, size: sizes.Sizes) -> configuration.Target:
    """Returns the target with an index, in a fleet of a size."""
    return configuration.Target(
        name=f"target-{index:04d}",
        address=f"10.{index >> 8}.{index & 255}.7:8000",
        data_centre=f"dc-{index % size.data_centres:02d}",
        serves=(f"model-{index % size.models}",),
    )


def configuration_of(size: sizes.Sizes) -> configuration.Configuration:
    """Builds the configuration of a fleet of a size."""
    entities = [
        configuration.Preset("ordinary"),
        configuration.PresetInForce("ordinary"),
    ]
    entities += [
        configuration.Deployment(f"model-{i}", model=f"model-{i}")
        for i in range(size.models)
    ]
    entities += [target(i, size) for i in range(size.runners)]
    entities += [organisation(i) for i in range(size.organisations)]
    puts = tuple(configuration.encode_entity(e) for e in entities)
    change = configuration.Change(1, "n", "capacity", puts=puts)
    return configuration.apply(configuration.Configuration(), change)


def processor_s(work: Callable[[], object], *, times: int = 1) -> float:
    """Returns the median processor time of a call, in seconds.

    Args:
        work: The function to call.
        times: Calls in each round.
    """
    rounds = []
    for _ in range(_ROUNDS):
        start = time.process_time()
        for _ in range(times):
            work()
        rounds.append((time.process_time() - start) / times)
    return statistics.median(rounds)


def change_figures(size: sizes.Sizes) -> Iterator[Figure]:
    """Measures the size and processor time of configuration changes."""
    cfg = configuration_of(size)
    kinds = {
        "organisation": organisation(3),
        "target": target(3, size),
        "preset switch": configuration.PresetInForce("ordinary"),
    }
    for kind, entity in kinds.items():
        change = configuration.Change(
            cfg.version + 1,
            "0123456789abcdef",
            "operator",
            puts=(configuration.encode_entity(entity),),
            note="a reason",
            wall_time_s=1.8e9,
        )
        data = msgspec.json.encode(change)
        yield Figure(f"change of {kind}, encoded", len(data), "bytes")
        seconds = processor_s(
            lambda data=data: configuration.apply(
                cfg, msgspec.json.decode(data, type=configuration.Change)
            ),
            times=20,
        )
        yield Figure(f"change of {kind}, decode and apply", seconds, "s")


def memory_figures(size: sizes.Sizes) -> Iterator[Figure]:
    """Measures the memory of a configuration and of single entities."""
    empty_size = dataclasses.replace(size, organisations=0, runners=0)
    base = _allocated_bytes(lambda: configuration_of(empty_size))
    targets_size = dataclasses.replace(size, organisations=0)
    with_targets = _allocated_bytes(lambda: configuration_of(targets_size))
    everything = _allocated_bytes(lambda: configuration_of(size))
    each_target = (with_targets - base) / max(1, size.runners)
    each_organisation = (everything - with_targets) / max(1, size.organisations)
    yield Figure("configuration, memory", everything, "bytes")
    yield Figure("a target, memory", each_target, "bytes")
    yield Figure("an organisation, memory", each_organisation, "bytes")


def snapshot_figures(size: sizes.Sizes) -> Iterator[Figure]:
    """Measures a complete configuration encoded as one JSON value."""
    cfg = configuration_of(size)
    puts = [
        configuration.encode_entity(e)
        for entities in (cfg.targets, cfg.organisations, cfg.presets)
        for e in entities.values()
    ]
    data = msgspec.json.encode(puts)
    yield Figure("snapshot, encoded", len(data), "bytes")

    def decode() -> None:
        pairs = msgspec.json.decode(data, type=list[tuple[str, dict]])
        change = configuration.Change(1, "n", "x", puts=tuple(pairs))
        configuration.apply(configuration.Configuration(), change)

    yield Figure("snapshot, decode and apply", processor_s(decode), "s")


def digest(loads: int, demands: int, draining: int) -> peers_pb2.Digest:
    """Returns a digest with a number of items of each kind.

    Args:
        loads: Number of target loads.
        demands: Number of organisations' demands.
        draining: Number of draining targets.
    """
    return peers_pb2.Digest(
        instance="entry-0123",
        boot="0123456789ab",
        data_centre="dc-07",
        address="10.1.2.3:9000",
        config_version=1_000_000,
        confirmed_age_ms=900,
        leaving_targets=[
            peers_pb2.Departure(target=f"target-{i:04d}", version=1_000_000)
            for i in range(draining)
        ],
        loads=[
            peers_pb2.TargetLoad(
                target=f"target-{i:04d}", streams=7, prefill_tokens=30_000
            )
            for i in range(loads)
        ],
        demand=[
            peers_pb2.Demand(
                organisation=f"organisation-{i:05d}", tokens_per_s=123.0
            )
            for i in range(demands)
        ],
    )


def digest_figures() -> Iterator[Figure]:
    """Measures the size of an empty digest and of each kind of item."""
    base = _digest_size(0, 0, 0)
    yield Figure("digest, empty", base, "bytes")
    for item, counts in (
        ("target's load", (_ITEMS, 0, 0)),
        ("organisation's demand", (0, _ITEMS, 0)),
        ("leaving target", (0, 0, _ITEMS)),
    ):
        each_bytes = (_digest_size(*counts) - base) / _ITEMS
        yield Figure(f"digest, a {item}", each_bytes, "bytes")


def _digest_size(loads: int, demands: int, draining: int) -> int:
    return len(digest(loads, demands, draining).SerializeToString())


def _allocated_bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    try:
        built = build()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        del built
        return size
    finally:
        tracemalloc.stop()
