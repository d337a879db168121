"""Measured costs of one more of each thing, for docs/CAPACITY.md.

Each function measures in this process and returns `Figure`s. Times are
processor times, medians of several rounds; memory is what the allocator
handed out, so that it doesn't depend on what ran before.
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
_HUNDRED = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
        name: What was measured.
        value: The value.
        unit: Its unit.
    """

    name: str
    value: float
    unit: str


def organisation(index: int) -> configuration.Organisation:
    """Returns one of many organisations."""
    name = f"organisation-{index:05d}"
    secret = hashlib.sha256(name.encode()).hexdigest()
    return configuration.Organisation(name, secret, limit_tokens_per_s=1000.0)


def target(index: int, size: sizes.Sizes) -> configuration.Target:
    """Returns one of many targets."""
    return configuration.Target(
        name=f"target-{index:04d}",
        address=f"10.{index >> 8}.{index & 255}.7:8000",
        data_centre=f"dc-{index % size.data_centres:02d}",
        serves=(f"model-{index % size.models}",),
    )


def configuration_of(size: sizes.Sizes) -> configuration.Configuration:
    """Builds a configuration of a size, as changes would."""
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
    """Returns the median processor time of a piece of work, in seconds."""
    rounds = []
    for _ in range(_ROUNDS):
        begin = time.process_time()
        for _ in range(times):
            work()
        rounds.append((time.process_time() - begin) / times)
    return statistics.median(rounds)


def change_figures(size: sizes.Sizes) -> Iterator[Figure]:
    """Measures bytes and processor time of a configuration change."""
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
    """Measures the memory of a configuration, and of each entity in it."""
    bare = dataclasses.replace(size, organisations=0, runners=0)
    base = _allocated(lambda: configuration_of(bare))
    targets = dataclasses.replace(size, organisations=0)
    with_targets = _allocated(lambda: configuration_of(targets))
    whole = _allocated(lambda: configuration_of(size))
    each_target = (with_targets - base) / max(1, size.runners)
    each = (whole - with_targets) / max(1, size.organisations)
    yield Figure("configuration, memory", whole, "bytes")
    yield Figure("a target, memory", each_target, "bytes")
    yield Figure("an organisation, memory", each, "bytes")


def snapshot_figures(size: sizes.Sizes) -> Iterator[Figure]:
    """Measures a whole configuration as one JSON object."""
    cfg = configuration_of(size)
    puts = [
        configuration.encode_entity(e)
        for part in (cfg.targets, cfg.organisations, cfg.presets)
        for e in part.values()
    ]
    data = msgspec.json.encode(puts)
    yield Figure("snapshot, encoded", len(data), "bytes")

    def read() -> None:
        pairs = msgspec.json.decode(data, type=list[tuple[str, dict]])
        change = configuration.Change(1, "n", "x", puts=tuple(pairs))
        configuration.apply(configuration.Configuration(), change)

    yield Figure("snapshot, decode and apply", processor_s(read), "s")


def digest(loads: int, demands: int, leaving: int) -> peers_pb2.Digest:
    """Returns a digest with so many parts of each kind."""
    return peers_pb2.Digest(
        instance="entry-0123",
        boot="0123456789ab",
        data_centre="dc-07",
        address="10.1.2.3:9000",
        config_version=1_000_000,
        confirmed_age_ms=900,
        leaving_targets=[
            peers_pb2.Departure(target=f"target-{i:04d}", version=1_000_000)
            for i in range(leaving)
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
    """Measures the bytes of a digest and of each part that it may carry."""
    base = _size(0, 0, 0)
    yield Figure("digest, empty", base, "bytes")
    for part, counts in (
        ("target's load", (_HUNDRED, 0, 0)),
        ("organisation's demand", (0, _HUNDRED, 0)),
        ("leaving target", (0, 0, _HUNDRED)),
    ):
        each = (_size(*counts) - base) / _HUNDRED
        yield Figure(f"digest, a {part}", each, "bytes")


def _size(loads: int, demands: int, leaving: int) -> int:
    return len(digest(loads, demands, leaving).SerializeToString())


def _allocated(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
        del kept
        return size
    finally:
        tracemalloc.stop()
