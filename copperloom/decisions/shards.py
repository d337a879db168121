"""Divides the targets of a service into shards, and ranks their owners.

If every instance sent its work in progress to every other, each request would
cost one message per instance. In a large fleet, each shard of targets has a
few owners instead: they receive the updates on work there, and place requests
for all other instances.

A shard is usually the targets of one data centre, which keeps its updates
local. Data centres with few targets join one that has more, since the prefill
of a long prompt takes several engines. Where latency between the data centres
is low, all targets form one shard, as long as a single owner can place for
all: under many long prompts a larger choice of engines outweighs the network
delay.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

import xxhash

from copperloom import routing

__all__ = [
    "OWNERS",
    "MAX_SMALL_FLEET",
    "Division",
    "Instance",
    "Shard",
    "has_low_latency",
    "divide",
    "home_shard",
    "has_owners",
    "rank",
    "restrict",
    "targets_in",
]

# Instances that receive the updates of a shard. The first one places requests;
# the others can replace it if it stops, freezes or is partitioned.
OWNERS = 3
# Up to this many instances, each receives all updates and places its own
# requests: that costs less than a placement query per request.
MAX_SMALL_FLEET = 16
# Fewer engines could not prefill the longest prompts within the latency
# objective.
MIN_SHARD_TARGETS = 8
# Maximum number of targets in a shard that spans data centres.
MAX_COMBINED_TARGETS = 100
# Up to this one-way delay between data centres, the round trip of a placement
# query and the placement are well below its timeout.
LOW_LATENCY_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """Targets of a service on which the same owners place requests.

    Attributes:
        service: Name of the service.
        data_centre: Data centre of the targets; "" for all targets of the
            service.
    """

    service: str
    data_centre: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance that may own a shard.

    Attributes:
        name: Its name.
        cores: Its share of processor time, in cores.
    """

    name: str
    cores: float


@dataclasses.dataclass(frozen=True, slots=True)
class Division:
    """The targets of a service by shard.

    Attributes:
        targets: All targets.
        large: Data centres that have a shard of their own.
        by_shard: Targets by the data centre of their shard.
    """

    targets: list[routing.TargetEntry]
    large: tuple[str, ...]
    by_shard: Mapping[str, list[routing.TargetEntry]]


def has_low_latency(engine: routing.EngineSpec | None) -> bool:
    """Returns whether the configured delay between engines is low."""
    return engine is not None and engine.most_delay_s <= LOW_LATENCY_S


def has_owners(instances: int) -> bool:
    """Returns whether a fleet of this size has shard owners."""
    return instances > MAX_SMALL_FLEET


def divide(
    targets: list[routing.TargetEntry], *, low_latency: bool = False
) -> Division:
    """Divides the targets of a service by data centre.

    Its cost grows with the number of targets, so callers cache the result
    until the targets change.

    Args:
        targets: The targets.
        low_latency: Whether latency between all data centres is low.
    """
    combined = low_latency and len(targets) <= MAX_COMBINED_TARGETS
    large = [] if combined else _large_data_centres(_target_counts(targets))
    shard_of = {
        dc: _shard_data_centre(dc, large) for dc in _target_counts(targets)
    }
    by_shard: dict[str, list[routing.TargetEntry]] = {}
    for target in targets:
        by_shard.setdefault(shard_of[target.data_centre], []).append(target)
    return Division(targets, tuple(large), by_shard)


def restrict(
    division: Division, data_centres: frozenset[str] | None
) -> Division:
    """Returns the part of a division in some data centres; None for all."""
    if data_centres is None:
        return division
    by_shard = {
        name: [t for t in targets if t.data_centre in data_centres]
        for name, targets in division.by_shard.items()
    }
    return Division(
        [t for t in division.targets if t.data_centre in data_centres],
        tuple(name for name in division.large if by_shard.get(name)),
        {name: targets for name, targets in by_shard.items() if targets},
    )


def home_shard(service: str, division: Division, data_centre: str) -> Shard:
    """Returns the shard that an instance's requests go to.

    Args:
        service: Name of the service.
        division: The usable targets of the service.
        data_centre: Data centre of the instance.
    """
    return Shard(service, _shard_data_centre(data_centre, division.large))


def targets_in(shard: Shard, division: Division) -> list[routing.TargetEntry]:
    """Returns the targets of a shard, or all targets if the shard has none."""
    if not shard.data_centre:
        return division.targets
    return division.by_shard.get(shard.data_centre) or division.targets


def rank(key: str, instances: Iterable[Instance]) -> list[str]:
    """Ranks instances as owners of a key.

    Uses rendezvous hashing: instances that know the same candidates compute
    the same ranking without communication, and adding or removing one keeps
    the order of the others. Instances with more processor time come first,
    since an owner places the requests of many others.

    Args:
        key: Name of what is owned.
        instances: The candidates.

    Returns:
        Names of the instances, the first owner first.
    """
    ordered = sorted(
        instances,
        key=lambda i: (
            -i.cores,
            xxhash.xxh64_intdigest(f"{key}/{i.name}".encode()),
        ),
    )
    return [i.name for i in ordered]


def _target_counts(targets: Iterable[routing.TargetEntry]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for target in targets:
        counts[target.data_centre] = counts.get(target.data_centre, 0) + 1
    return counts


def _large_data_centres(counts: Mapping[str, int]) -> list[str]:
    return [dc for dc, count in counts.items() if count >= MIN_SHARD_TARGETS]


def _shard_data_centre(data_centre: str, large: Sequence[str]) -> str:
    """Returns the data centre whose shard the given one belongs to."""
    if not large or data_centre in large:
        return data_centre if large else ""
    return max(
        large,
        key=lambda dc: xxhash.xxh64_intdigest(f"{data_centre}/{dc}".encode()),
    )
