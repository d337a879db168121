"""State of the scheduler of one instance."""

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
    """A request in flight.

    Attributes:
        placement: Its placement.
        pool: The pool that serves it.
        prompts: Prompt tokens at each target of the placement.
        cost: Estimated tokens of prompt and answer.
        long: Whether it belongs to the class of long requests.
        placed_at: Monotonic time of the placement.
        waiting: Whether its first token is outstanding.
    """

    placement: messages.Placement
    pool: pool_module.Pool
    prompts: tuple[int, ...]
    cost: int
    long: bool
    placed_at: float
    waiting: bool = True


class Scheduler:
    """State behind the scheduling decisions of one instance.

    Attributes:
        policy: The policy with its enabled mechanisms.
        rng: Generator for sampling and jitter.
        cfg: The configuration in force.
        draining: Draining targets, which get no new work.
        targets: Load by target name.
        pools: Pools by kind and model or service name.
        inflight: Requests in flight by request id.
        avoid: Targets that failed a request, by request id.
        limits: State of the organisations' limits.
        budget: Retry budget.
        peer_names: Targets in the last update of the peers' loads.
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
        self.draining: frozenset[str] = frozenset()
        self.targets: dict[str, load.TargetLoad] = {}
        self.pools: dict[PoolKey, pool_module.Pool] = {}
        self.inflight: dict[str, InflightRequest] = {}
        self.avoid: dict[str, frozenset[str]] = {}
        self.limits = limits.Limits()
        self.budget = retries.Budget()
        self.peer_names: set[str] = set()

    def uses(self, mechanism: str) -> bool:
        """Returns whether a mechanism is enabled."""
        return mechanism in self.policy.mechanisms


def pool_of(sched: Scheduler, req: messages.Request) -> pool_module.Pool | None:
    """Returns the pool that serves a request; None if it is empty."""
    pool = sched.pools.get((req.kind, req.model or req.deployment))
    return pool if pool is not None and pool.targets else None


def is_long(sched: Scheduler, req: messages.Request) -> bool:
    """Returns whether a request belongs to the long class."""
    if req.kind is not configuration.TargetKind.ENGINE:
        return False
    if not sched.uses("classes"):
        return False
    return req.prompt_tokens > sched.cfg.preset.short_prompt_tokens


def rebuild(sched: Scheduler, now: float) -> None:
    """Rebuilds the pools after the targets have changed, in O(n log n).

    Recorded load is kept for targets that remain, and for removed targets as
    long as they have requests of this instance.
    """
    usable: dict[PoolKey, list[load.TargetLoad]] = {}
    loads = {}
    for target in sched.cfg.targets.values():
        tgt = _target_load(sched, target)
        loads[target.name] = tgt
        if _takes_work(sched, target):
            for serves in target.serves:
                usable.setdefault((target.kind, serves), []).append(tgt)
    for name, tgt in sched.targets.items():
        if tgt.streams:
            loads.setdefault(name, tgt)
    sched.targets = loads
    for key in usable.keys() - sched.pools.keys():
        fair = sched.uses("fairness")
        sched.pools[key] = pool_module.Pool(key[0], fair=fair)
    for key, pool in sched.pools.items():
        pool_module.set_targets(pool, usable.get(key, []))


def refresh(sched: Scheduler, now: float) -> None:
    """Applies the targets and the preset to all pools."""
    for pool in sched.pools.values():
        pool_module.update_split(pool, sched.cfg.preset, now)
        _divide(sched, pool)


def refresh_pool(sched: Scheduler, pool: pool_module.Pool, now: float) -> None:
    """Adjusts the split of a pool if that is due."""
    if not pool_split.is_due(pool.split, now):
        return
    if pool_module.update_split(pool, sched.cfg.preset, now):
        _divide(sched, pool)


def _divide(sched: Scheduler, pool: pool_module.Pool) -> None:
    pool_module.divide(
        pool,
        sched.cfg.preset,
        split=_is_split(sched, pool),
        max_group_size=groups.MAX_GROUP_SIZE,
    )


def _is_split(sched: Scheduler, pool: pool_module.Pool) -> bool:
    is_engine = pool.kind is configuration.TargetKind.ENGINE
    return is_engine and sched.uses("pools")


def _target_load(
    sched: Scheduler, target: configuration.Target
) -> load.TargetLoad:
    tgt = sched.targets.get(target.name)
    if tgt is None:
        tgt = load.TargetLoad(target.name, rank=pool_split.rank(target.name))
        if not sched.uses("concurrency"):
            tgt.limit = float("inf")
    is_engine = target.kind is configuration.TargetKind.ENGINE
    configured = target.kv_tokens if is_engine else 0
    load.set_memory(tgt, configured, tgt.reported_kv_tokens)
    return tgt


def _takes_work(sched: Scheduler, target: configuration.Target) -> bool:
    admitted = target.state is configuration.TargetState.ADMITTED
    return admitted and target.name not in sched.draining
