"""Policies by name: this project's own, and the baselines to compare with.

A policy is a set of mechanisms that are on, and a function that chooses a
target. The baselines send each request at once and keep no queue, limit or
prediction, as the balancers that bear their names do.
"""

import dataclasses
import random
from collections.abc import Callable

from copperloom.decisions import load

__all__ = ["MECHANISMS", "POLICIES", "Policy", "make"]

Chooser = Callable[[list[load.TargetLoad], random.Random], load.TargetLoad]

MECHANISMS = frozenset(
    [
        "admission",
        "affinity",
        "classes",
        "concurrency",
        "ejection",
        "fairness",
        "pools",
        "priority",
        "reservations",
        "retries",
    ]
)
POLICIES = (
    "copperloom",
    "round_robin",
    "least_in_flight",
    "best_of_two",
    "no_pools",
)
# What keeps long work apart in any way; without it all is one queue.
_SEPARATION = frozenset(["classes", "pools", "priority", "reservations"])


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A policy.

    Attributes:
        name: Its name.
        mechanisms: Names of the mechanisms that are on.
        choose: The baseline's choice; None for `placement`'s.
    """

    name: str
    mechanisms: frozenset[str]
    choose: Chooser | None = None


def make(name: str, disable: frozenset[str] = frozenset()) -> Policy:
    """Makes a policy.

    Raises:
        ValueError: The policy or a mechanism is not known.
    """
    if name not in POLICIES:
        raise ValueError(f"unknown policy {name}")
    unknown = disable - MECHANISMS
    if unknown:
        raise ValueError(f"unknown mechanisms {', '.join(sorted(unknown))}")
    if name == "copperloom":
        return Policy(name, MECHANISMS - disable)
    if name == "no_pools":
        return Policy(name, MECHANISMS - _SEPARATION - disable)
    choosers = {
        "round_robin": _round_robin,
        "least_in_flight": _least_in_flight,
        "best_of_two": lambda: _best_of_two,
    }
    return Policy(name, frozenset(), choosers[name]())


def _round_robin() -> Chooser:
    turn = 0

    def choose(targets, rng):
        nonlocal turn
        turn += 1
        return targets[turn % len(targets)]

    return choose


def _least_in_flight() -> Chooser:
    def choose(targets, rng):
        # Ties at random, or all entries would start with the same target.
        return min(targets, key=lambda t: (t.streams, rng.random()))

    return choose


def _best_of_two(targets, rng):
    pair = rng.choices(targets, k=2)
    return min(pair, key=lambda t: t.streams)
