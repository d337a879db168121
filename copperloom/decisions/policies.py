"""Scheduling policies by name: copperloom's own, and baselines.

A policy is a set of enabled mechanisms with a function that chooses a target.
The baselines dispatch each request at once, without queues, limits or
predictions, like the load-balancing algorithms of the same name.
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
# Mechanisms that separate long requests from short ones.
_SEPARATION = frozenset(["classes", "pools", "priority", "reservations"])


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A scheduling policy.

    Attributes:
        name: Name of the policy.
        mechanisms: Names of the enabled mechanisms.
        choose: Chooses the target of a baseline; None to use `placement`.
    """

    name: str
    mechanisms: frozenset[str]
    choose: Chooser | None = None


def make(name: str, disable: frozenset[str] = frozenset()) -> Policy:
    """Builds a policy.

    Args:
        name: Name of the policy.
        disable: Mechanisms to disable.

    Raises:
        ValueError: The policy or a mechanism is unknown.
    """
    if name not in POLICIES:
        raise ValueError(f"unknown scheduling policy: {name}")
    unknown = disable - MECHANISMS
    if unknown:
        raise ValueError(f"unknown mechanisms: {', '.join(sorted(unknown))}")
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
    count = 0

    def choose(targets, rng):
        nonlocal count
        count += 1
        return targets[count % len(targets)]

    return choose


def _least_in_flight() -> Chooser:
    def choose(targets, rng):
        # Random ties keep instances from choosing the same target.
        return min(targets, key=lambda t: (t.streams, rng.random()))

    return choose


def _best_of_two(targets, rng):
    pair = rng.choices(targets, k=2)
    return min(pair, key=lambda t: t.streams)
