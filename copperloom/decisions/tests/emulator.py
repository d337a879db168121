"""An emulator of model engines that plays a load against a placement.

It runs the iterations that `copperloom.decisions.iterations` describes on a
simulated clock, and records the time to the first token and the longest gap
between tokens of each request.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterator

from copperloom import routing
from copperloom.decisions import (
    choice,
    decode_rate,
    inflight,
    inflight_table,
    iterations,
    plans,
    target_speed,
)

__all__ = ["Arrival", "Served", "least_requests", "play", "place_by_cost"]

# Events of each answer.
_EVENTS = 20
# Time of one chunk of a prompt, after which an engine may switch to another.
_CHUNK_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of the load.

    Attributes:
        at: Time of its arrival, in seconds.
        prompt: Its prompt.
    """

    at: float
    prompt: plans.Prompt


@dataclasses.dataclass
class Served:
    """The answer to a request.

    Attributes:
        arrival: The request.
        first_s: Time to the first token, in seconds; None if it was refused.
        gap_s: Longest gap between events, in seconds.
        instance: Number of the instance that places it.
        started_at: Time at which it was placed.
        parts_left: Parts whose prefill has not ended.
        events: Number of events sent.
        last_at: Time of the last event.
    """

    arrival: Arrival
    first_s: float | None = None
    gap_s: float = 0.0
    instance: int = 0
    started_at: float = 0.0
    parts_left: int = 0
    events: int = 0
    last_at: float = 0.0

    def meets_objectives(self) -> bool:
        """Returns whether all latency objectives were met."""
        prompt = self.arrival.prompt
        if self.first_s is None or self.first_s > prompt.first_token_aim_s:
            return False
        return self.gap_s <= prompt.pause_aim_s


@dataclasses.dataclass(eq=False)
class _Prefill:
    served: Served
    left_s: float
    is_split: bool


class _Engine:
    def __init__(self):
        self.admitted = 0
        self.queue: collections.deque[_Prefill] = collections.deque()
        self.prefills: list[_Prefill] = []
        self.decoding: list[Served] = []
        self.busy = False


Placement = Callable[[plans.Prompt, list[plans.Candidate]], plans.Choice]


def place_by_cost(spec: routing.EngineSpec) -> Placement:
    """Returns the placement by cost, as in production."""

    def place(prompt, candidates):
        return choice.choose(spec, prompt, candidates)

    return place


def least_requests(spec: routing.EngineSpec) -> Placement:
    """Returns the baseline: the engine with the least requests."""

    def place(prompt, candidates):
        best = min(candidates, key=lambda c: c.load.requests)
        prefill_s = iterations.prefill_s(spec, prompt.tokens)
        return plans.Plan(best.name, (), prefill_s, 0.0, 0.0)

    return place


def play(
    spec: routing.EngineSpec,
    engines: int,
    arrivals: list[Arrival],
    place: Placement,
    *,
    instances: int = 1,
    report_delay_s: float = 0.0,
    speeds: tuple[float, ...] = (),
    uses_speed: bool = True,
) -> list[Served]:
    """Plays a load against a placement.

    Args:
        spec: Figures of the engines.
        engines: Number of engines.
        arrivals: The load.
        place: The placement.
        instances: Number of instances, which place requests in turn.
        report_delay_s: Time until an instance knows of another's placement.
        speeds: Factors of the iterations of the first engines; 1 for others.
        uses_speed: Whether the placement takes observed speeds into account.

    Returns:
        The answers in order of arrival.
    """
    names = [f"e{n}" for n in range(engines)]
    simulation = _Simulation(
        spec, {name: _Engine() for name in names}, report_delay_s
    )
    simulation.factors = dict(zip(names, speeds, strict=False))
    simulation.uses_speed = uses_speed
    for number, arrival in enumerate(arrivals):
        served = Served(arrival, instance=number % instances)
        simulation.schedule(arrival.at, ("arrive", served))
    while simulation.event_queue:
        now, _, (event, subject) = heapq.heappop(simulation.event_queue)
        if event == "arrive":
            simulation.arrive(now, subject, place)
        else:
            simulation.end_iteration(now, subject)
    return simulation.served


class _Simulation:
    def __init__(self, spec, engines: dict[str, _Engine], report_delay_s):
        self.spec = spec
        self.engines = engines
        self.report_delay_s = report_delay_s
        self.table = inflight_table.InflightTable()
        self.by_request: dict[str, Served] = {}
        self.event_queue: list = []
        self.order = itertools.count()
        self.served: list[Served] = []
        self.factors: dict[str, float] = {}
        self.uses_speed = True
        self.speeds = target_speed.TargetSpeeds()

    def schedule(self, at: float, item) -> None:
        heapq.heappush(self.event_queue, (at, next(self.order), item))

    def arrive(self, now: float, served: Served, place: Placement) -> None:
        waited_s = now - served.arrival.at
        if not waited_s:
            self.served.append(served)
        prompt = dataclasses.replace(served.arrival.prompt, waited_s=waited_s)
        loads = inflight_table.loads(self._known(now, served.instance), now)
        candidates = [
            plans.Candidate(
                n,
                loads.get(n, inflight.TargetLoad()),
                0.0,
                self.spec.slots,
                speed=self._speed(n, now),
            )
            for n in self.engines
        ]
        plan = place(prompt, candidates)
        if isinstance(plan, plans.Deferral):
            self.schedule(now + plan.delay_s, ("arrive", served))
            return
        if not isinstance(plan, plans.Plan):
            return
        names = (plan.lead, *plan.helpers)
        served.parts_left = len(names)
        served.lead = plan.lead
        served.plan = plan
        served.gaps = decode_rate.RecentGaps()
        served.started_at = now
        self._record(now, served, plan, names)
        for name in names:
            prefill = _Prefill(served, plan.part_s, len(names) > 1)
            self._admit(self.engines[name], prefill, is_lead=name == plan.lead)
            self.start_iteration(now, name)

    def _speed(self, name: str, now: float) -> float:
        if not self.uses_speed:
            return 1.0
        return target_speed.ratio(self.speeds, name, now)

    def _observe(self, now: float, served: Served) -> None:
        plan, prompt = served.plan, served.arrival.prompt
        if not self.factors or not plan.shows_speed:
            return
        waited_s = served.started_at - served.arrival.at
        value = target_speed.log_ratio(
            now - served.started_at,
            (plan.first_token_s - waited_s) / plan.speed,
        )
        kind = "short" if prompt.tokens <= plans.SHORT_TOKENS else "long"
        self._learn(now, served, kind, value)

    def _observe_gap(self, now: float, served: Served) -> None:
        decode_rate.record_gap(served.gaps, now - served.last_at)
        gaps_s = decode_rate.first_gaps_s(served.gaps)
        if gaps_s is None or not self.factors:
            return
        tokens = served.arrival.prompt.tokens
        usual_s = decode_rate.usual_gaps_s(self.spec, tokens)
        value = target_speed.log_ratio(gaps_s, usual_s)
        self._learn(now, served, "decode", value)

    def _learn(self, now, served: Served, kind: str, value: float) -> None:
        observation = target_speed.Observation(served.lead, kind, value)
        target_speed.record(self.speeds, observation, now)

    def _known(self, now: float, instance: int) -> inflight_table.InflightTable:
        """Returns the in-flight table as an instance knows it."""
        known = inflight_table.InflightTable()
        for request, work in self.table.own.items():
            served = self.by_request[request]
            reported = served.started_at <= now - self.report_delay_s
            if reported or served.instance == instance:
                inflight_table.begin(known, request, work)
        return known

    def _admit(self, engine: _Engine, prefill: _Prefill, *, is_lead: bool):
        """Starts a prefill, or queues it until a slot is free."""
        if is_lead and engine.admitted >= self.spec.slots:
            engine.queue.append(prefill)
            return
        engine.admitted += is_lead
        engine.prefills.append(prefill)

    def _record(self, now, served, plan, names) -> None:
        prompt = served.arrival.prompt
        self.by_request[str(id(served))] = served
        inflight_table.begin(
            self.table,
            str(id(served)),
            [
                inflight.Work(
                    target=name,
                    prefill_s=plan.part_s,
                    generates=name == plan.lead,
                    tokens=prompt.tokens if name == plan.lead else 0,
                    pause_aim_s=prompt.pause_aim_s,
                    started_at=now,
                    worth=plans.worth(prompt.tokens),
                    due_s=prompt.first_token_aim_s - (now - served.arrival.at),
                    is_split=len(names) > 1,
                )
                for name in names
            ],
        )

    def start_iteration(self, now: float, name: str) -> None:
        engine = self.engines[name]
        if engine.busy or not (engine.prefills or engine.decoding):
            return
        engine.busy = True
        context = sum(s.arrival.prompt.tokens for s in engine.decoding)
        duration_s = iterations.iteration_s(
            self.spec, len(engine.decoding), context
        )
        if not engine.decoding:
            # It prefills one prompt at a time, and may switch after each chunk.
            engine.batch = [_next_prefill(engine.prefills)]
            duration_s = min(_CHUNK_S, engine.batch[0].left_s)
            engine.batch[0].left_s -= duration_s
            duration_s *= self.factors.get(name, 1.0)
            self.schedule(now + duration_s, ("iteration", name))
            return
        engine.batch = list(engine.prefills)
        for prefill in engine.batch:
            duration_s += prefill.left_s
            prefill.left_s = 0.0
        duration_s *= self.factors.get(name, 1.0)
        self.schedule(now + duration_s, ("iteration", name))

    def end_iteration(self, now: float, name: str) -> None:
        engine = self.engines[name]
        engine.busy = False
        for served in list(engine.decoding):
            served.events += 1
            served.gap_s = max(served.gap_s, now - served.last_at)
            self._observe_gap(now, served)
            served.last_at = now
            if served.events >= _EVENTS:
                engine.decoding.remove(served)
                inflight_table.end(self.table, str(id(served)))
                engine.admitted -= 1
                if engine.queue:
                    self._admit(engine, engine.queue.popleft(), is_lead=True)
        done = [p for p in engine.batch if p.left_s <= 0]
        engine.prefills = [p for p in engine.prefills if p not in done]
        for prefill in done:
            prefill.served.parts_left -= 1
            if not prefill.served.parts_left:
                self._record_first_token(now, prefill.served)
        self.start_iteration(now, name)

    def _record_first_token(self, now: float, served: Served) -> None:
        served.first_s = now - served.arrival.at
        served.last_at = now
        self._observe(now, served)
        inflight_table.mark_decoding(self.table, str(id(served)))
        self.engines[served.lead].decoding.append(served)
        self.start_iteration(now, served.lead)


def _next_prefill(prefills: list[_Prefill]) -> _Prefill:
    """Returns the next prefill of an engine without decodes.

    This is the newest part or, without parts, the oldest whole prompt.
    """
    parts = [p for p in prefills if p.is_split]
    return parts[-1] if parts else prefills[0]


def times(rng: random.Random, seconds: float, per_s) -> Iterator[float]:
    """Draws the arrival times of requests.

    Args:
        rng: Source of randomness.
        seconds: Length of the load, in seconds.
        per_s: Function from the time to the requests per second.
    """
    at = rng.expovariate(per_s(0.0))
    while at < seconds:
        yield at
        at += rng.expovariate(per_s(at))


def mixed_load(
    rng: random.Random, seconds: float, rates: dict[plans.Prompt, float]
) -> list[Arrival]:
    """Draws the arrivals of several prompts.

    Args:
        rng: Source of randomness.
        seconds: Length of the load, in seconds.
        rates: Requests per second by prompt.
    """
    found = [
        Arrival(at, prompt)
        for prompt, rate in rates.items()
        for at in times(rng, seconds, lambda _, rate=rate: rate)
    ]
    return sorted(found, key=lambda a: a.at)
