"""Measures the processor time of scheduling decisions.

Usage:
  decisioncost [--targets=LIST] [--organisations=N] [--requests=N] [--seed=N]

Options:
  --targets=LIST     Numbers of targets [default: 10,1400].
  --organisations=N  Organisations that send in turn [default: 25000].
  --requests=N       Requests measured for each number [default: 20000].
  --seed=N           Seed of the prompts' lengths [default: 1].

Each request is offered, dispatched, gets its first token and is finished,
with a constant number in flight, as at an entry in operation; one in fifty is
long. The measurement is repeated with a queue and full targets. Prints the
microseconds of processor time of a request, with the parts `offer`, `dispatch`
and `finished`, of a configuration change, and of a load report.
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
# Requests a second of one entry at the design size.
REQUESTS_PER_S = 15.0
TIME_LIMIT_S = 600.0
LONG_SHARE = 0.02
US_PER_S = 1e6


@dataclasses.dataclass(frozen=True)
class Cost:
    """Processor times in microseconds.

    Attributes:
        targets: Number of targets.
        queued: Number of requests that stay in the queue.
        offer_us: One offer.
        dispatch_us: One dispatch, with one request ready to be placed.
        finished_us: One first token and one end of a request.
        request_us: All steps of a request together.
        configuration_us: Adoption of a configuration with a changed target.
        report_us: Processing of one load report.
    """

    targets: int
    queued: int
    offer_us: float
    dispatch_us: float
    finished_us: float
    request_us: float
    configuration_us: float
    report_us: float


class _Timer:
    """Sums processor time by name."""

    def __init__(self):
        self.seconds: dict[str, float] = collections.defaultdict(float)

    def call(self, name, function, *args, **options):
        """Calls a function and adds its processor time to a name."""
        start_ns = time.process_time_ns()
        result = function(*args, **options)
        self.seconds[name] += (time.process_time_ns() - start_ns) / 1e9
        return result


def measure(
    targets: int, organisations: int, count: int, seed: int, *, queued: int = 0
) -> Cost:
    """Measures the costs with a number of targets.

    Args:
        targets: Number of targets.
        organisations: Number of organisations that send in turn.
        count: Number of requests.
        seed: Seed of the prompts' lengths.
        queued: Number of requests that stay in the queue, because the targets
            are full.
    """
    rng = random.Random(seed)
    sched = scheduler.Scheduler(seed=seed)
    cfg = _configuration(targets, organisations)
    scheduler.set_configuration(sched, cfg, 0.0)
    timer = _Timer()
    now = 0.0
    in_flight: collections.deque[messages.Placement] = collections.deque()
    for number in range(queued + IN_FLIGHT):
        scheduler.offer(sched, _request(number, organisations, rng, now), now)
    if queued:
        _fill_targets(sched)
    in_flight.extend(_placements(scheduler.dispatch(sched, now)))
    for number in range(count):
        now += 1.0 / REQUESTS_PER_S
        req = _request(queued + IN_FLIGHT + number, organisations, rng, now)
        timer.call("offer", scheduler.offer, sched, req, now)
        decided = timer.call("dispatch", scheduler.dispatch, sched, now)
        in_flight.extend(_placements(decided))
        if in_flight:
            _finish(sched, timer, in_flight.popleft(), now, full=bool(queued))
    return _cost(targets, queued, count, timer, _adoption_s(sched, cfg), sched)


def _finish(sched, timer, placement, now, *, full):
    sent = now - placement.request.prompt_tokens * 5e-5
    timer.call(
        "finished",
        scheduler.record_first_token,
        sched,
        placement,
        now,
        sent=sent,
    )
    timer.call(
        "finished", scheduler.record_completion, sched, placement, now, ok=True
    )
    if full:
        _fill_targets(sched)


def _fill_targets(sched):
    """Sets the limits so that targets have room only for ended requests."""
    for tgt in sched.targets.values():
        tgt.limit = max(1.0, float(tgt.streams))


def _placements(decided):
    return [d for d in decided if isinstance(d, messages.Placement)]


def _adoption_s(sched, cfg) -> float:
    rounds = 5
    start_ns = time.process_time_ns()
    for number in range(rounds):
        changed = dict(cfg.targets)
        name = f"e{number}"
        changed[name] = dataclasses.replace(cfg.targets[name], kv_tokens=1)
        newer = dataclasses.replace(cfg, targets=changed)
        scheduler.set_configuration(sched, newer, 0.0)
    return (time.process_time_ns() - start_ns) / 1e9 / rounds


def _report_s(sched) -> float:
    load = interface.LoadReport("b", 1, 400_000, 1, 0, 0, 0.5)
    start_ns = time.process_time_ns()
    for name in sched.targets:
        scheduler.record_report(sched, name, load, 1e6)
    return (time.process_time_ns() - start_ns) / 1e9 / len(sched.targets)


def _cost(targets, queued, count, timer, configuration_s, sched) -> Cost:
    each_us = {k: s / count * US_PER_S for k, s in timer.seconds.items()}
    return Cost(
        targets,
        queued,
        each_us["offer"],
        each_us["dispatch"],
        each_us.get("finished", 0.0),
        sum(each_us.values()),
        configuration_s * US_PER_S,
        _report_s(sched) * US_PER_S,
    )


def _configuration(targets, organisations) -> configuration.Configuration:
    target_list = [
        configuration.Target(f"e{i}", "127.0.0.1:1", serves=("m",))
        for i in range(targets)
    ]
    organisation_list = [
        configuration.Organisation(f"o{i}", "", limit_tokens_per_s=1e9)
        for i in range(organisations)
    ]
    return configuration.Configuration(
        1,
        organisations={o.name: o for o in organisation_list},
        targets={t.name: t for t in target_list},
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
    """Runs the command line."""
    args = docopt.docopt(__doc__)
    for targets in map(int, args["--targets"].split(",")):
        for queued in (0, 1000):
            cost = measure(
                targets,
                int(args["--organisations"]),
                int(args["--requests"]),
                int(args["--seed"]),
                queued=queued,
            )
            cells = [f"{k}={v:.4g}" for k, v in vars(cost).items()]
            print(" ".join(cells), flush=True)


if __name__ == "__main__":
    main()
