"""A small emulator of model engines, to play a load against placement.

It works as `copperloom.decisions.iterations` says engines do, pass by pass,
with a clock of its own, and tells what callers get: when the first token came,
and the longest pause.
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
    inflight,
    inflight_table,
    iterations,
    plans,
)

__all__ = ["Arrival", "Served", "least_requests", "play", "spread_by_harm"]

_EVENTS = 20
# An engine reads in chunks of 2,048 tokens: 11.6 ms, longer far into a prompt.
_PIECE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request of the load.

    Attributes:
        at: When it comes, in seconds.
        prompt: What is asked.
    """

    at: float
    prompt: plans.Prompt


@dataclasses.dataclass
class Served:
    """What its caller got.

    Attributes:
        arrival: The request.
        first_s: Time to the first token; None if it was refused.
        pause_s: Longest pause between events.
        instance: Number of the instance that places it.
        started_at: When it was placed.
        left: Parts that are not read yet.
        events: Events written.
        last_at: Time of the last event.
    """

    arrival: Arrival
    first_s: float | None = None
    pause_s: float = 0.0
    instance: int = 0
    started_at: float = 0.0
    left: int = 0
    events: int = 0
    last_at: float = 0.0

    def in_time(self) -> bool:
        """Whether the caller got all it asked for in time."""
        prompt = self.arrival.prompt
        if self.first_s is None or self.first_s > prompt.first_token_aim_s:
            return False
        return self.pause_s <= prompt.pause_aim_s


@dataclasses.dataclass(eq=False)
class _Reading:
    served: Served
    left_s: float
    is_split: bool


class _Engine:
    def __init__(self):
        self.admitted = 0
        self.queue: collections.deque[_Reading] = collections.deque()
        self.reading: list[_Reading] = []
        self.decoding: list[Served] = []
        self.busy = False


Placement = Callable[[plans.Prompt, list[plans.Candidate]], plans.Choice]


def spread_by_harm(spec: routing.EngineSpec) -> Placement:
    """Places as the product does."""

    def place(prompt, candidates):
        return choice.choose(spec, prompt, candidates)

    return place


def least_requests(spec: routing.EngineSpec) -> Placement:
    """Places at the engine with the least requests; the baseline."""

    def place(prompt, candidates):
        best = min(candidates, key=lambda c: c.load.requests)
        read_s = iterations.prefill_s(spec, prompt.tokens)
        return plans.Plan(best.name, (), read_s, 0.0, 0.0)

    return place


def play(
    spec: routing.EngineSpec,
    engines: int,
    arrivals: list[Arrival],
    place: Placement,
    *,
    instances: int = 1,
    told_after_s: float = 0.0,
) -> list[Served]:
    """Plays a load; returns what each caller got, in order of arrival.

    Args:
        spec: Figures of the engines.
        engines: How many there are.
        arrivals: The load.
        place: How prompts are placed.
        instances: Instances that place, each in turn.
        told_after_s: Time until an instance knows what another has placed.
    """
    names = [f"e{n}" for n in range(engines)]
    world = _World(spec, {name: _Engine() for name in names}, told_after_s)
    for number, arrival in enumerate(arrivals):
        served = Served(arrival, instance=number % instances)
        world.schedule(arrival.at, ("arrive", served))
    while world.queue:
        now, _, (what, subject) = heapq.heappop(world.queue)
        if what == "arrive":
            world.arrive(now, subject, place)
        else:
            world.end_pass(now, subject)
    return world.served


class _World:
    def __init__(self, spec, engines: dict[str, _Engine], told_after_s):
        self.spec = spec
        self.engines = engines
        self.told_after_s = told_after_s
        self.board = inflight_table.InflightTable()
        self.placed: dict[str, Served] = {}
        self.queue: list = []
        self.order = itertools.count()
        self.served: list[Served] = []

    def schedule(self, at: float, item) -> None:
        heapq.heappush(self.queue, (at, next(self.order), item))

    def arrive(self, now: float, served: Served, place: Placement) -> None:
        waited_s = now - served.arrival.at
        if not waited_s:
            self.served.append(served)
        prompt = dataclasses.replace(served.arrival.prompt, waited_s=waited_s)
        loads = inflight_table.loads(self._known(now, served.instance), now)
        candidates = [
            plans.Candidate(
                n, loads.get(n, inflight.TargetLoad()), 0.0, self.spec.slots
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
        served.left = len(names)
        served.lead = plan.lead
        served.started_at = now
        self._note(now, served, plan, names)
        for name in names:
            reading = _Reading(served, plan.part_s, len(names) > 1)
            self._take(self.engines[name], reading, leads=name == plan.lead)
            self.start_pass(now, name)

    def _known(self, now: float, instance: int) -> inflight_table.InflightTable:
        """Returns the board without what others have not told yet."""
        known = inflight_table.InflightTable()
        for request, work in self.board.own.items():
            served = self.placed[request]
            told = served.started_at <= now - self.told_after_s
            if told or served.instance == instance:
                inflight_table.begin(known, request, work)
        return known

    def _take(self, engine: _Engine, reading: _Reading, *, leads: bool):
        """Admits a prompt, or has it wait until an answer has ended."""
        if leads and engine.admitted >= self.spec.slots:
            engine.queue.append(reading)
            return
        engine.admitted += leads
        engine.reading.append(reading)

    def _note(self, now, served, plan, names) -> None:
        prompt = served.arrival.prompt
        self.placed[str(id(served))] = served
        inflight_table.begin(
            self.board,
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

    def start_pass(self, now: float, name: str) -> None:
        engine = self.engines[name]
        if engine.busy or not (engine.reading or engine.decoding):
            return
        engine.busy = True
        context = sum(s.arrival.prompt.tokens for s in engine.decoding)
        length = iterations.iteration_s(
            self.spec, len(engine.decoding), context
        )
        if not engine.decoding:
            # It reads one prompt, and looks anew after each piece which one.
            engine.taken = [_next(engine.reading)]
            length = min(_PIECE_S, engine.taken[0].left_s)
            engine.taken[0].left_s -= length
            self.schedule(now + length, ("pass", name))
            return
        engine.taken = list(engine.reading)
        for reading in engine.taken:
            length += reading.left_s
            reading.left_s = 0.0
        self.schedule(now + length, ("pass", name))

    def end_pass(self, now: float, name: str) -> None:
        engine = self.engines[name]
        engine.busy = False
        for served in list(engine.decoding):
            served.events += 1
            served.pause_s = max(served.pause_s, now - served.last_at)
            served.last_at = now
            if served.events >= _EVENTS:
                engine.decoding.remove(served)
                inflight_table.end(self.board, str(id(served)))
                engine.admitted -= 1
                if engine.queue:
                    self._take(engine, engine.queue.popleft(), leads=True)
        done = [r for r in engine.taken if r.left_s <= 0]
        engine.reading = [r for r in engine.reading if r not in done]
        for reading in done:
            reading.served.left -= 1
            if not reading.served.left:
                self._first(now, reading.served)
        self.start_pass(now, name)

    def _first(self, now: float, served: Served) -> None:
        served.first_s = now - served.arrival.at
        served.last_at = now
        inflight_table.mark_decoding(self.board, str(id(served)))
        self.engines[served.lead].decoding.append(served)
        self.start_pass(now, served.lead)


def _next(reading: list[_Reading]) -> _Reading:
    """Returns what an engine without writers reads next.

    The newest part; only without parts, the oldest whole prompt.
    """
    parts = [r for r in reading if r.is_split]
    return parts[-1] if parts else reading[0]


def times(rng: random.Random, seconds: float, per_s) -> Iterator[float]:
    """Draws when requests come.

    Args:
        rng: Source of the draw.
        seconds: How long.
        per_s: (time) -> requests a second from then on.
    """
    at = rng.expovariate(per_s(0.0))
    while at < seconds:
        yield at
        at += rng.expovariate(per_s(at))


def mixed_load(
    rng: random.Random, seconds: float, rates: dict[plans.Prompt, float]
) -> list[Arrival]:
    """Draws arrivals of several kinds of prompts.

    Args:
        rng: Source of the draw.
        seconds: How long.
        rates: Requests a second by prompt.
    """
    found = [
        Arrival(at, prompt)
        for prompt, rate in rates.items()
        for at in times(rng, seconds, lambda _, rate=rate: rate)
    ]
    return sorted(found, key=lambda a: a.at)
