"""Divides the targets of a service into shards, and names their owners.

Made for hundreds of instances before hundreds of targets. Where each instance
tells every other what it has in progress, a request costs a message to each,
and summing what was heard costs more than placing. So each shard of targets
has a few owners: they hear of the work there, and place for all others.

A shard is the targets of one data centre: that is near, and what is told of
it stays there. Data centres with few targets join one that has more, since
reading a long prompt takes several engines. Where data centres are near each
other all targets are one shard, as long as one owner can place for all: at a
peak of long prompts more engines to choose from are worth more than the way.
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
    "targets_in",
]

# Instances that hear of the work of a shard. One places for all; the next ones
# know what it knows, should it stop, freeze or be cut off.
OWNERS = 3
# Up to so many instances all hear of all work, and each places for itself: a
# message to each costs less than asking another.
MAX_SMALL_FLEET = 16
# Targets that make up a shard of their own: fewer engines can't read the
# longest prompts in time.
MIN_SHARD_TARGETS = 8
# Most targets that are one shard though they stand in several data centres.
MAX_COMBINED_TARGETS = 100
# Data centres no farther than this from each other are near: two ways and a
# placement are well below an owner's patience.
LOW_LATENCY_S = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """Targets of a service that are placed on together.

    Attributes:
        service: Name of the service.
        data_centre: Where they stand; "" for all targets of the service.
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
        targets: All of them.
        large: Data centres that have a shard of their own.
        by_shard: Targets by the data centre of their shard.
    """

    targets: list[routing.TargetEntry]
    large: tuple[str, ...]
    by_shard: Mapping[str, list[routing.TargetEntry]]


def has_low_latency(engine: routing.EngineSpec | None) -> bool:
    """Tells whether a service's data centres are stated to be near."""
    return engine is not None and engine.most_delay_s <= LOW_LATENCY_S


def has_owners(instances: int) -> bool:
    """Tells whether a fleet of this size has owners."""
    return instances > MAX_SMALL_FLEET


def divide(
    targets: list[routing.TargetEntry], *, low_latency: bool = False
) -> Division:
    """Divides the targets of a service by data centre.

    Its cost grows with the targets, so it is done once for each change of
    them and not for each request.

    Args:
        targets: The targets.
        low_latency: Whether all data centres are near each other.
    """
    together = low_latency and len(targets) <= MAX_COMBINED_TARGETS
    large = [] if together else _large(_counts(targets))
    joined = {dc: _joined(dc, large) for dc in _counts(targets)}
    by_shard: dict[str, list[routing.TargetEntry]] = {}
    for target in targets:
        by_shard.setdefault(joined[target.data_centre], []).append(target)
    return Division(targets, tuple(large), by_shard)


def home_shard(service: str, division: Division, data_centre: str) -> Shard:
    """Returns the shard that an instance's requests go to.

    Args:
        service: Name of the service.
        division: Its usable targets.
        data_centre: Where the instance stands.
    """
    return Shard(service, _joined(data_centre, division.large))


def targets_in(shard: Shard, division: Division) -> list[routing.TargetEntry]:
    """Lists the targets of a shard; all of them if it has none."""
    if not shard.data_centre:
        return division.targets
    return division.by_shard.get(shard.data_centre) or division.targets


def rank(key: str, instances: Iterable[Instance]) -> list[str]:
    """Orders instances by who owns what the key names.

    All that know the same instances find the same order without a
    word between them, and one more or less changes nothing for the others
    (rendezvous hashing). Those with more processor time go first: an owner
    does the placing of dozens.

    Args:
        key: Names what is owned.
        instances: Those that may own it.

    Returns:
        Their names.
    """
    ordered = sorted(
        instances,
        key=lambda i: (
            -i.cores,
            xxhash.xxh64_intdigest(f"{key}/{i.name}".encode()),
        ),
    )
    return [i.name for i in ordered]


def _counts(targets: Iterable[routing.TargetEntry]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for target in targets:
        counts[target.data_centre] = counts.get(target.data_centre, 0) + 1
    return counts


def _large(counts: Mapping[str, int]) -> list[str]:
    return [dc for dc, count in counts.items() if count >= MIN_SHARD_TARGETS]


def _joined(data_centre: str, large: Sequence[str]) -> str:
    """Returns the data centre whose shard one belongs to."""
    if not large or data_centre in large:
        return data_centre if large else ""
    return max(
        large,
        key=lambda dc: xxhash.xxh64_intdigest(f"{data_centre}/{dc}".encode()),
    )
