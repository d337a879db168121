"""The state of all decisions of one entry."""

import dataclasses
import random

from copperloom import configuration, messages
from copperloom.decisions import (
    groups,
    limits,
    load,
    policies,
    pool_split,
    retries,
)
from copperloom.decisions import pool as pool_module

__all__ = [
    "InflightRequest",
    "Scheduler",
    "is_long",
    "pool_of",
    "rebuild",
    "refresh",
    "refresh_pool",
]

PoolKey = tuple[configuration.TargetKind, str]


@dataclasses.dataclass(slots=True)
class InflightRequest:
    """Work in flight.

    Attributes:
        placement: What was placed.
        pool: Its pool.
        prompts: Prompt tokens at each target.
        cost: Estimated tokens.
        long: Whether it is of the long class.
        placed_at: When it was placed.
        waiting: Whether its first token is still to come.
    """

    placement: messages.Placement
    pool: pool_module.Pool
    prompts: tuple[int, ...]
    cost: int
    long: bool
    placed_at: float
    waiting: bool = True


class Scheduler:
    """State of all decisions of one entry.

    Attributes:
        policy: The policy and its mechanisms.
        rng: Generator for samples and jitter.
        cfg: The configuration in force.
        leaving: Targets that get no new work.
        targets: Load by target name.
        pools: By kind and model (or service) name.
        inflight: Work in flight by request id.
        avoid: Targets that failed a request, by request id.
        limits: Organisations' limits.
        budget: Retry budget.
        peer_names: Targets that peers told of last.
    """

    def __init__(
        self,
        *,
        seed: int = 0,
        policy: str = "copperloom",
        disable: frozenset[str] = frozenset(),
    ):
        self.policy = policies.make(policy, disable)
        self.rng = random.Random(seed)
        self.cfg = configuration.Configuration()
        self.leaving: frozenset[str] = frozenset()
        self.targets: dict[str, load.TargetLoad] = {}
        self.pools: dict[PoolKey, pool_module.Pool] = {}
        self.inflight: dict[str, InflightRequest] = {}
        self.avoid: dict[str, frozenset[str]] = {}
        self.limits = limits.Limits()
        self.budget = retries.Budget()
        self.peer_names: set[str] = set()

    def uses(self, mechanism: str) -> bool:
        """Tells whether a mechanism is on."""
        return mechanism in self.policy.mechanisms


def pool_of(sched: Scheduler, req: messages.Request) -> pool_module.Pool | None:
    """Returns the pool that serves a request; None if it has no target."""
    pool = sched.pools.get((req.kind, req.model or req.deployment))
    return pool if pool is not None and pool.targets else None


def is_long(sched: Scheduler, req: messages.Request) -> bool:
    """Tells whether a request is of the long class."""
    if req.kind is not configuration.TargetKind.ENGINE:
        return False
    if not sched.uses("classes"):
        return False
    return req.prompt_tokens > sched.cfg.preset.short_prompt_tokens


def rebuild(sched: Scheduler, now: float) -> None:
    """Makes the pools anew after targets changed; costs O(n log n).

    Load of targets that are still known is kept, also of those that went
    while work of ours is there.
    """
    usable: dict[PoolKey, list[load.TargetLoad]] = {}
    known = {}
    for target in sched.cfg.targets.values():
        tgt = _known(sched, target)
        known[target.name] = tgt
        if _takes_work(sched, target):
            for serves in target.serves:
                usable.setdefault((target.kind, serves), []).append(tgt)
    for name, tgt in sched.targets.items():
        if tgt.streams:
            known.setdefault(name, tgt)
    sched.targets = known
    for key in usable.keys() - sched.pools.keys():
        fair = sched.uses("fairness")
        sched.pools[key] = pool_module.Pool(key[0], fair=fair)
    for key, pool in sched.pools.items():
        pool_module.set_targets(pool, usable.get(key, []))


def refresh(sched: Scheduler, now: float) -> None:
    """Adopts targets and preset in all pools."""
    for pool in sched.pools.values():
        pool_module.update_split(pool, sched.cfg.preset, now)
        _divide(sched, pool)


def refresh_pool(sched: Scheduler, pool: pool_module.Pool, now: float) -> None:
    """Moves the border of a pool if that is due."""
    if not pool_split.is_due(pool.split, now):
        return
    if pool_module.update_split(pool, sched.cfg.preset, now):
        _divide(sched, pool)


def _divide(sched: Scheduler, pool: pool_module.Pool) -> None:
    pool_module.divide(
        pool,
        sched.cfg.preset,
        split=_splits(sched, pool),
        group_most=groups.GROUP_MOST,
    )


def _splits(sched: Scheduler, pool: pool_module.Pool) -> bool:
    engines = pool.kind is configuration.TargetKind.ENGINE
    return engines and sched.uses("pools")


def _known(sched: Scheduler, target: configuration.Target) -> load.TargetLoad:
    tgt = sched.targets.get(target.name)
    if tgt is None:
        tgt = load.TargetLoad(target.name, rank=pool_split.rank(target.name))
        if not sched.uses("concurrency"):
            tgt.limit = float("inf")
    engine = target.kind is configuration.TargetKind.ENGINE
    configured = target.kv_tokens if engine else 0
    load.set_memory(tgt, configured, tgt.said_kv_tokens)
    return tgt


def _takes_work(sched: Scheduler, target: configuration.Target) -> bool:
    admitted = target.state is configuration.TargetState.ADMITTED
    return admitted and target.name not in sched.leaving
