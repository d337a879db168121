"""State of the targets that serve one model or one plain service."""

import dataclasses

from copperloom import configuration
from copperloom.decisions import (
    affinity,
    concurrency,
    fairqueue,
    load,
    pool_split,
)

__all__ = [
    "Pool",
    "Residence",
    "capacity",
    "divide",
    "record_residence",
    "residence",
    "set_targets",
    "throughput",
    "update_split",
]

RESIDENCE_GAIN = 0.1
# A long request queued for longer than this shows that too few engines take
# long work.
MAX_LONG_WAIT_S = 1.0


@dataclasses.dataclass(slots=True)
class Residence:
    """Residence times at the targets for one class of requests.

    Attributes:
        in_flight: Estimated tokens in flight.
        cost: Mean tokens of a request.
        cost_seconds: Mean of tokens times seconds at the target.
        seconds: Mean seconds at the target.
        samples: Number of requests recorded.
    """

    in_flight: int = 0
    cost: float = 0.0
    cost_seconds: float = 0.0
    seconds: float = 0.0
    samples: int = 0


class Pool:
    """Targets of one model or service, with the requests queued for them.

    Attributes:
        kind: Engines or plain services.
        targets: All usable targets in rank order.
        by_name: The same targets by name.
        long_targets: Targets that take long work.
        short_targets: Targets kept free of long work; all if the pool is not
            split.
        long_names: Names of `long_targets`, and of the next one in rank order.
        max_long_targets: Maximum number of targets that take long work.
        ring: Consistent-hash ring of all targets.
        short_ring: Consistent-hash ring of `short_targets`.
        split: Split between long-prompt and short-prompt targets.
        short: Queue of short requests.
        long: Queue of long requests.
        first_token_stats: First-token times of short requests.
        long_first_token_stats: First-token times of long requests.
        short_residence: Residence times of short requests.
        long_residence: Residence times of long requests.
        max_kv_tokens: KV memory of the largest engine, in tokens.
        group_tokens: Maximum KV tokens that a group of engines can provide.
        engine_tokens: Maximum KV tokens that one engine provides to long work.
    """

    def __init__(self, kind: configuration.TargetKind, *, fair: bool = True):
        self.kind = kind
        self.targets: list[load.TargetLoad] = []
        self.by_name: dict[str, load.TargetLoad] = {}
        self.long_targets: list[load.TargetLoad] = []
        self.short_targets: list[load.TargetLoad] = []
        self.long_names: frozenset[str] = frozenset()
        self.max_long_targets = 0
        self.ring = affinity.build([])
        self.short_ring = affinity.build([])
        self.split = pool_split.PoolSplit()
        self.short = fairqueue.FairQueue(fair=fair)
        self.long = fairqueue.FairQueue(fair=fair)
        self.first_token_stats = concurrency.FirstTokenStats()
        self.long_first_token_stats = concurrency.FirstTokenStats()
        self.short_residence = Residence()
        self.long_residence = Residence()
        self.max_kv_tokens = 0
        self.group_tokens = 0
        self.engine_tokens = 0


def set_targets(pool: Pool, targets: list[load.TargetLoad]) -> None:
    """Replaces the targets; `divide` must be called afterwards."""
    pool.targets = sorted(targets, key=lambda t: t.rank)
    pool.by_name = {t.name: t for t in pool.targets}
    pool.ring = affinity.build([t.name for t in pool.targets])
    pool.max_kv_tokens = max((t.kv_tokens for t in targets), default=0)


def divide(
    pool: Pool,
    preset: configuration.Preset,
    *,
    split: bool,
    max_group_size: int,
) -> None:
    """Updates the long and short targets after a change of targets or split.

    The target next to the split counts as one with long work when short
    requests are placed, since other instances may have moved their split by a
    step already.

    Args:
        pool: The pool.
        preset: The preset in force.
        split: Whether long work is confined to some of the targets.
        max_group_size: Maximum number of engines in a group.
    """
    count = len(pool.targets)
    max_long = (
        pool_split.max_long_targets(count, preset.short_floor)
        if split
        else count
    )
    pool.max_long_targets = max_long
    size = min(pool.split.size, max_long) if split else count
    pool.long_targets = pool.targets[:size]
    long_or_next = pool.targets[: min(size + 1, max_long)]
    pool.long_names = frozenset(t.name for t in long_or_next)
    rest = pool.targets[len(long_or_next) :] if split else pool.targets
    pool.short_targets = rest or pool.targets
    pool.short_ring = affinity.build([t.name for t in pool.short_targets])
    capacities = [capacity(t, preset) for t in pool.targets[:max_long]]
    pool.engine_tokens = max(capacities, default=0)
    pool.group_tokens = sum(sorted(capacities, reverse=True)[:max_group_size])


def update_split(pool: Pool, preset: configuration.Preset, now: float) -> bool:
    """Adjusts the split to the utilisation; returns whether it moved."""
    size = pool.split.size
    count = len(pool.targets)
    max_long = pool_split.max_long_targets(count, preset.short_floor)
    pool_split.adjust(
        pool.split, count, max_long, _utilisation(pool, preset, now), now
    )
    return pool.split.size != size


def _utilisation(pool: Pool, preset: configuration.Preset, now: float) -> float:
    head = fairqueue.first(pool.long, 1)
    if head and now - head[0].queued_at > MAX_LONG_WAIT_S:
        return 1.0
    total = sum(capacity(t, preset) for t in pool.long_targets)
    typical_tokens = preset.short_prompt_tokens // 2
    held = sum(
        load.long_kv_in_use(t, typical_tokens) for t in pool.long_targets
    )
    return min(1.0, held / total) if total else 0.0


def residence(pool: Pool, *, long: bool) -> Residence:
    """Returns the residence times of one class of requests."""
    return pool.long_residence if long else pool.short_residence


def capacity(tgt: load.TargetLoad, preset: configuration.Preset) -> int:
    """Returns the KV tokens of a target that long work may hold."""
    return int(tgt.kv_tokens * preset.long_share)


def record_residence(residence: Residence, cost: int, seconds: float) -> None:
    """Adds a finished request to the averages.

    Args:
        residence: Residence times of the request's class.
        cost: Estimated tokens of the request.
        seconds: Seconds at the target.
    """
    residence.samples += 1
    gain = max(RESIDENCE_GAIN, 1.0 / residence.samples)
    residence.cost += gain * (cost - residence.cost)
    residence.cost_seconds += gain * (cost * seconds - residence.cost_seconds)
    residence.seconds += gain * (seconds - residence.seconds)


def throughput(residence: Residence) -> float:
    """Returns the tokens completed per second, by Little's law; 0 if unknown.

    Little's law needs no sampling interval: it divides the work in flight by
    its residence time, both weighted by tokens, and follows a change of load at
    once.
    """
    if residence.samples == 0 or residence.cost_seconds <= 0.0:
        return 0.0
    weighted_s = residence.cost_seconds / max(residence.cost, 1e-9)
    return residence.in_flight / weighted_s
