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
    "learn",
    "update_split",
    "set_targets",
    "residence",
    "throughput",
]

RESIDENCE_GAIN = 0.1
# Long work that waits longer shows that its part is too small.
LONG_WAITS_S = 1.0


@dataclasses.dataclass(slots=True)
class Residence:
    """How long work of one class stays at its target.

    Attributes:
        in_flight: Estimated tokens in flight.
        cost: Average tokens of a request.
        cost_seconds: Average of tokens times seconds at the target.
        seconds: Average seconds at the target.
        samples: Requests seen.
    """

    in_flight: int = 0
    cost: float = 0.0
    cost_seconds: float = 0.0
    seconds: float = 0.0
    samples: int = 0


class Pool:
    """Targets of one model or service, and what waits for them.

    Attributes:
        kind: Engines or plain services.
        targets: All usable targets in the shared order.
        by_name: The same by name.
        long_part: Those that take long work.
        short_part: Those kept free of it; the whole pool without pools.
        long_names: Names in `long_part`, and the one next to it.
        most_long: Most targets that may take long work.
        ring: Homes of prefixes among all targets.
        short_ring: Homes of prefixes among `short_part`.
        split: Where the parts meet.
        short: Queue of short work.
        long: Queue of long work.
        first_token_stats: First-token times of short work.
        long_first_token_stats: First-token times of long work.
        short_residence: Time at the target of short work.
        long_residence: Time at the target of long work.
        most_kv_tokens: KV memory of the largest engine.
        group_tokens: Most KV tokens that a group of engines can give.
        engine_tokens: Most KV tokens that one engine gives to long work.
    """

    def __init__(self, kind: configuration.TargetKind, *, fair: bool = True):
        self.kind = kind
        self.targets: list[load.TargetLoad] = []
        self.by_name: dict[str, load.TargetLoad] = {}
        self.long_part: list[load.TargetLoad] = []
        self.short_part: list[load.TargetLoad] = []
        self.long_names: frozenset[str] = frozenset()
        self.most_long = 0
        self.ring = affinity.make([])
        self.short_ring = affinity.make([])
        self.split = pool_split.PoolSplit()
        self.short = fairqueue.FairQueue(fair=fair)
        self.long = fairqueue.FairQueue(fair=fair)
        self.first_token_stats = concurrency.FirstTokenStats()
        self.long_first_token_stats = concurrency.FirstTokenStats()
        self.short_residence = Residence()
        self.long_residence = Residence()
        self.most_kv_tokens = 0
        self.group_tokens = 0
        self.engine_tokens = 0


def set_targets(pool: Pool, targets: list[load.TargetLoad]) -> None:
    """Replaces the targets; `divide` must follow."""
    pool.targets = sorted(targets, key=lambda t: t.rank)
    pool.by_name = {t.name: t for t in pool.targets}
    pool.ring = affinity.make([t.name for t in pool.targets])
    pool.most_kv_tokens = max((t.kv_tokens for t in targets), default=0)


def divide(
    pool: Pool, preset: configuration.Preset, *, split: bool, group_most: int
) -> None:
    """Makes the parts anew after targets, preset or border changed.

    The engine next to the border counts as one with long work when short work
    is placed, since other entries may have moved the border a step already.

    Args:
        pool: The pool.
        preset: The preset in force.
        split: Whether long work is kept to a part of the targets.
        group_most: Most engines in a group.
    """
    count = len(pool.targets)
    most = (
        pool_split.max_long_targets(count, preset.short_floor)
        if split
        else count
    )
    pool.most_long = most
    size = min(pool.split.size, most) if split else count
    pool.long_part = pool.targets[:size]
    guarded = pool.targets[: min(size + 1, most)]
    pool.long_names = frozenset(t.name for t in guarded)
    rest = pool.targets[len(guarded) :] if split else pool.targets
    pool.short_part = rest or pool.targets
    pool.short_ring = affinity.make([t.name for t in pool.short_part])
    kv = [capacity(t, preset) for t in pool.targets[:most]]
    pool.engine_tokens = max(kv, default=0)
    pool.group_tokens = sum(sorted(kv, reverse=True)[:group_most])


def update_split(pool: Pool, preset: configuration.Preset, now: float) -> bool:
    """Looks at the long part's use and moves the border; True if it moved."""
    size = pool.split.size
    count = len(pool.targets)
    most = pool_split.max_long_targets(count, preset.short_floor)
    pool_split.adjust(pool.split, count, most, _use(pool, preset, now), now)
    return pool.split.size != size


def _use(pool: Pool, preset: configuration.Preset, now: float) -> float:
    head = fairqueue.first(pool.long, 1)
    if head and now - head[0].queued_at > LONG_WAITS_S:
        return 1.0
    room = sum(capacity(t, preset) for t in pool.long_part)
    typical = preset.short_prompt_tokens // 2
    held = sum(load.long_kv_in_use(t, typical) for t in pool.long_part)
    return min(1.0, held / room) if room else 0.0


def residence(pool: Pool, *, long: bool) -> Residence:
    """Returns the time at the target of one class of work."""
    return pool.long_residence if long else pool.short_residence


def capacity(tgt: load.TargetLoad, preset: configuration.Preset) -> int:
    """Returns the KV tokens of a target that long work may hold."""
    return int(tgt.kv_tokens * preset.long_share)


def learn(residence: Residence, cost: int, seconds: float) -> None:
    """Learns from work that finished."""
    residence.samples += 1
    gain = max(RESIDENCE_GAIN, 1.0 / residence.samples)
    residence.cost += gain * (cost - residence.cost)
    residence.cost_seconds += gain * (cost * seconds - residence.cost_seconds)
    residence.seconds += gain * (seconds - residence.seconds)


def throughput(residence: Residence) -> float:
    """Returns the tokens a second that leave, by Little's law; 0 if unknown.

    Little's law needs no measuring interval: work in flight over its time in
    flight, both weighted by tokens, so it follows a change of load at once.
    """
    if residence.samples == 0 or residence.cost_seconds <= 0.0:
        return 0.0
    weighted_s = residence.cost_seconds / max(residence.cost, 1e-9)
    return residence.in_flight / weighted_s
