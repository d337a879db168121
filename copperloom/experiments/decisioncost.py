"""Measures what the decisions cost in processor time.

Usage:
  decisioncost [--targets=LIST] [--organisations=N] [--requests=N] [--seed=N]

Options:
  --targets=LIST     Numbers of targets [default: 10,1400].
  --organisations=N  Organisations that send in turn [default: 25000].
  --requests=N       Requests measured for each number [default: 20000].
  --seed=N           Seed of the prompts' lengths [default: 1].

Each request is offered, dispatched, gets its first token and is finished,
with a steady number in flight, as at an entry under way; one in fifty is long.
Then the same with a queue, where targets are full. Prints microseconds of
processor time a request, of which `offer`, `dispatch` and `finished` are
parts, of a change of the configuration, and of a round of load reports.
"""

import collections
import dataclasses
import random
import time

import docopt

from copperloom import configuration, messages
from copperloom.decisions import scheduler
from copperloom.targets import interface

__all__ = ["Cost", "main", "measure"]

IN_FLIGHT = 40
# Requests a second of one entry at the design size (docs/CAPACITY.md).
RATE = 15.0
TIME_LIMIT_S = 600.0
LONG_SHARE = 0.02
MICROSECONDS = 1e6


@dataclasses.dataclass(frozen=True)
class Cost:
    """Processor time in microseconds.

    Attributes:
        targets: Targets.
        queued: Requests that wait all the while.
        offer_us: Of one offer.
        dispatch_us: Of one dispatch, with one request ready to go.
        finished_us: Of one first token and one end.
        request_us: All together, a request.
        configuration_us: Of adopting a configuration with a changed target.
        report_us: Of taking in one load report.
    """

    targets: int
    queued: int
    offer_us: float
    dispatch_us: float
    finished_us: float
    request_us: float
    configuration_us: float
    report_us: float


class _Spent:
    """Sums processor time by name."""

    def __init__(self):
        self.seconds: dict[str, float] = collections.defaultdict(float)

    def call(self, name, function, *args, **options):
        """Calls a function and counts its time."""
        begun = time.process_time_ns()
        result = function(*args, **options)
        self.seconds[name] += (time.process_time_ns() - begun) / 1e9
        return result


def measure(
    targets: int, organisations: int, count: int, seed: int, *, queued: int = 0
) -> Cost:
    """Measures one number of targets.

    Args:
        targets: Targets.
        organisations: Organisations that send in turn.
        count: Requests.
        seed: Seed of the prompts' lengths.
        queued: Requests that wait all the while, since the targets are full.
    """
    rng = random.Random(seed)
    sched = scheduler.Scheduler(seed=seed)
    cfg = _configuration(targets, organisations)
    scheduler.set_configuration(sched, cfg, 0.0)
    spent = _Spent()
    now = 0.0
    flying: collections.deque[messages.Placement] = collections.deque()
    for number in range(queued + IN_FLIGHT):
        scheduler.offer(sched, _request(number, organisations, rng, now), now)
    if queued:
        _fill(sched)
    flying.extend(_placed(scheduler.dispatch(sched, now)))
    for number in range(count):
        now += 1.0 / RATE
        req = _request(queued + IN_FLIGHT + number, organisations, rng, now)
        spent.call("offer", scheduler.offer, sched, req, now)
        made = spent.call("dispatch", scheduler.dispatch, sched, now)
        flying.extend(_placed(made))
        if flying:
            _end(sched, spent, flying.popleft(), now, full=bool(queued))
    return _cost(targets, queued, count, spent, _adopt(sched, cfg), sched)


def _end(sched, spent, made, now, *, full):
    sent = now - made.request.prompt_tokens * 5e-5
    spent.call("finished", scheduler.first_token, sched, made, now, sent=sent)
    spent.call("finished", scheduler.finished, sched, made, now, ok=True)
    if full:
        _fill(sched)


def _fill(sched):
    """Keeps all targets full but for what has just ended."""
    for tgt in sched.targets.values():
        tgt.limit = max(1.0, float(tgt.streams))


def _placed(decided):
    return [d for d in decided if isinstance(d, messages.Placement)]


def _adopt(sched, cfg) -> float:
    rounds = 5
    begun = time.process_time_ns()
    for number in range(rounds):
        changed = dict(cfg.targets)
        name = f"e{number}"
        changed[name] = dataclasses.replace(cfg.targets[name], kv_tokens=1)
        newer = dataclasses.replace(cfg, targets=changed)
        scheduler.set_configuration(sched, newer, 0.0)
    return (time.process_time_ns() - begun) / 1e9 / rounds


def _report(sched) -> float:
    load = interface.LoadReport("b", 1, 400_000, 1, 0, 0, 0.5)
    begun = time.process_time_ns()
    for name in sched.targets:
        scheduler.report(sched, name, load, 1e6)
    return (time.process_time_ns() - begun) / 1e9 / len(sched.targets)


def _cost(targets, queued, count, spent, configuration_s, sched) -> Cost:
    each = {k: s / count * MICROSECONDS for k, s in spent.seconds.items()}
    return Cost(
        targets,
        queued,
        each["offer"],
        each["dispatch"],
        each.get("finished", 0.0),
        sum(each.values()),
        configuration_s * MICROSECONDS,
        _report(sched) * MICROSECONDS,
    )


def _configuration(targets, organisations) -> configuration.Configuration:
    made = [
        configuration.Target(f"e{i}", "127.0.0.1:1", serves=("m",))
        for i in range(targets)
    ]
    orgs = [
        configuration.Organisation(f"o{i}", "", limit_tokens_per_s=1e9)
        for i in range(organisations)
    ]
    return configuration.Configuration(
        1,
        organisations={o.name: o for o in orgs},
        targets={t.name: t for t in made},
    )


def _request(number, organisations, rng, now) -> messages.Request:
    long = rng.random() < LONG_SHARE
    tokens = 150_000 if long else rng.randint(500, 8_000)
    return messages.Request(
        f"r{number}",
        f"o{number * 7919 % organisations}",
        1.0,
        "d",
        configuration.TargetKind.ENGINE,
        "m",
        tokens,
        200,
        now,
        now + TIME_LIMIT_S,
        1,
        "" if long else f"p{number % 1000}",
    )


def main() -> None:
    """Runs the command."""
    given = docopt.docopt(__doc__)
    for targets in map(int, given["--targets"].split(",")):
        for queued in (0, 1000):
            cost = measure(
                targets,
                int(given["--organisations"]),
                int(given["--requests"]),
                int(given["--seed"]),
                queued=queued,
            )
            cells = [f"{k}={v:.4g}" for k, v in vars(cost).items()]
            print(" ".join(cells), flush=True)


if __name__ == "__main__":
    main()
