"""An emulator of a plain service whose targets differ in speed.

Instances place requests in turn by their own view: they learn of placements,
answers and observations of the others after a delay. A target runs as many
requests as it has slots, the others wait there in order.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from copperloom.decisions import inflight, planner, plans, target_speed

__all__ = ["Fleet", "answer_times", "bursts"]

_SERVICE_S = 0.08
_SPREAD_S = (0.75, 1.35)
# Answers take this much longer at a target with at least this share of its
# slots taken.
_NEARLY_FULL = 0.8
_SLOWDOWN = 1.3
_QUEUE = 2
_RETRY_S = 0.05


@dataclasses.dataclass(frozen=True)
class Fleet:
    """A plain service.

    Attributes:
        speeds: Factors of the answer times of its targets.
        slots: Slots of each target.
        instances: Number of instances.
        delay_s: Time until an instance learns what others did.
        uses_speed: Whether the placement takes the speeds into account.
    """

    speeds: tuple[float, ...]
    slots: int = 6
    instances: int = 4
    delay_s: float = 0.012
    uses_speed: bool = True


def bursts(rng: random.Random, seconds: float, per_s: float) -> list[float]:
    """Draws arrival times; every third span of 4 s has 2.5 times the load."""
    found = []
    at = 0.0
    while at < seconds:
        factor = 2.5 if int(at / 4.0) % 3 == 2 else 1.0
        at += rng.expovariate(per_s * factor)
        found.append(at)
    return found


def answer_times(
    fleet: Fleet, arrivals: list[float], seed: int
) -> list[tuple[float, int]]:
    """Plays a load; returns the answer time and the target of each request."""
    emulation = _Emulation(fleet, random.Random(seed))
    for number, at in enumerate(arrivals):
        instance = number % fleet.instances
        emulation.schedule(at, emulation.place, number, at, instance)
    while emulation.events:
        now, _, action, details = heapq.heappop(emulation.events)
        action(now, *details)
    return emulation.answered


class _Emulation:
    def __init__(self, fleet: Fleet, rng: random.Random):
        self.fleet = fleet
        self.rng = rng
        self.events: list = []
        self.order = itertools.count()
        count = len(fleet.speeds)
        self.views = [[0] * count for _ in range(fleet.instances)]
        self.speeds = [
            target_speed.TargetSpeeds() for _ in range(fleet.instances)
        ]
        self.running = [0] * count
        self.queues = [collections.deque() for _ in range(count)]
        self.answered: list[tuple[float, int]] = []

    def schedule(self, at: float, action, *details) -> None:
        heapq.heappush(self.events, (at, next(self.order), action, details))

    def place(self, now, number, arrived, instance) -> None:
        view = self.views[instance]
        candidates = [
            plans.Candidate(
                str(n),
                inflight.TargetLoad(requests=view[n]),
                0.0,
                self.fleet.slots,
                speed=self._speed(instance, n, now),
            )
            for n in range(len(view))
            if view[n] < self.fleet.slots * _QUEUE
        ]
        plan = planner.plan_service(candidates, self.rng)
        if plan is None:
            self.schedule(now + _RETRY_S, self.place, number, arrived, instance)
            return
        target = int(plan.lead)
        self._tell(now, instance, target, 1)
        self.queues[target].append((now, arrived, instance, plan))
        self._run_next(now, target)

    def _speed(self, instance: int, target: int, now: float) -> float:
        if not self.fleet.uses_speed:
            return 1.0
        return target_speed.ratio(self.speeds[instance], str(target), now)

    def _tell(self, now, instance, target, change) -> None:
        for other in range(self.fleet.instances):
            delay_s = self.fleet.delay_s if other != instance else 0.0
            self.schedule(now + delay_s, self._learn, other, target, change)

    def _learn(self, now, instance, target, change) -> None:
        self.views[instance][target] += change

    def _run_next(self, now: float, target: int) -> None:
        if not self.queues[target]:
            return
        if self.running[target] >= self.fleet.slots:
            return
        self.running[target] += 1
        duration_s = _SERVICE_S * self.fleet.speeds[target]
        duration_s *= self.rng.uniform(*_SPREAD_S)
        if self.running[target] >= _NEARLY_FULL * self.fleet.slots:
            duration_s *= _SLOWDOWN
        request = self.queues[target].popleft()
        self.schedule(now + duration_s, self._end, target, *request)

    def _end(self, now, target, placed, arrived, instance, plan) -> None:
        self.running[target] -= 1
        self.answered.append((now - arrived, target))
        self._tell(now, instance, target, -1)
        if plan.shows_speed:
            value = target_speed.log_ratio(now - placed)
            observation = target_speed.Observation(str(target), "plain", value)
            for known in self.speeds:
                target_speed.record(known, observation, now)
        self._run_next(now, target)
