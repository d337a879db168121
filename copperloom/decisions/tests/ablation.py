"""Compares policies and mechanisms on simulated engines.

    python -m copperloom.decisions.tests.ablation [SCENARIO...] [=VARIANT...]

Prints the medians of three seeds for each policy, and for copperloom with each
single mechanism disabled. Variants such as "=copperloom -pools" select some of
these. "slowdown p99" relates the total time of short answers to that in a run
without long requests, where late answers count as infinite; "small" are all
organisations except the largest.
"""

import dataclasses
import sys

from copperloom import configuration
from copperloom.decisions import policies
from copperloom.decisions.tests import callers, world

SEEDS = (1, 2, 3)
SECONDS = 120.0
SETTLE_S = 10.0
DRAIN_S = callers.LONG_LIMIT_S + 20.0
COUNT = 15


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A load, its mix of requests and the faults of its engines."""

    load: float
    entries: int = 3
    long_share: float = 0.02
    large: float = 0.3
    hot: float = 0.0
    slow: tuple[tuple[str, float], ...] = ()
    down: tuple[str, ...] = ()
    objective: str = "first_token"
    limit_s: float = callers.LIMIT_S
    max_queue_wait_s: float = 30.0


SCENARIOS = {
    "mix": Scenario(0.7),
    "alone": Scenario(0.7, entries=1),
    "nine": Scenario(0.7, entries=9),
    "mix110": Scenario(1.1),
    "nine110": Scenario(1.1, entries=9),
    "slowdown110": Scenario(1.1, objective="slowdown"),
    "full130": Scenario(1.3, max_queue_wait_s=5.0),
    "short130": Scenario(1.3, long_share=0.0, max_queue_wait_s=5.0),
    "saturated": Scenario(2.6, long_share=0.0, max_queue_wait_s=5.0),
    "skew": Scenario(3.0, long_share=0.0, large=0.5, max_queue_wait_s=5.0),
    "hot": Scenario(0.7, long_share=0.0, hot=0.6),
    "slow": Scenario(0.6, long_share=0.0, slow=(("e3", 8.0),)),
    "down": Scenario(0.6, long_share=0.0, down=("e3", "e4")),
}


def play(
    scenario,
    seed,
    *,
    policy="copperloom",
    disable=frozenset(),
    long=True,
    **options,
):
    """Plays a scenario; returns the world and the outcomes."""
    share = scenario.long_share
    rate = callers.rate_for(scenario.load, COUNT, long_share=share)
    reqs = callers.requests(
        seed,
        rate,
        SECONDS,
        long_share=share,
        large=scenario.large,
        hot=scenario.hot,
        limit_s=scenario.limit_s,
    )
    if not long:
        reqs = [r for r in reqs if r.prompt_tokens <= 16_000]
    preset = configuration.Preset(
        "p",
        objective=scenario.objective,
        max_queue_wait_s=scenario.max_queue_wait_s,
    )
    simulated = world.World(
        count=COUNT,
        entries=scenario.entries,
        seed=seed,
        policy=policy,
        disable=disable,
        preset=preset,
        slow=dict(scenario.slow),
        **options,
    )
    for name in scenario.down:
        simulated.engines[name].down = True
    return simulated, simulated.run(reqs, SECONDS + DRAIN_S)


def measure(scenario, seed, **options):
    """Returns the statistics of one run."""
    simulated, outcomes = play(scenario, seed, **options)
    summary = callers.summarise(outcomes, since=SETTLE_S)
    small = [o for o in outcomes if o.request.organisation != "o0" and o.short]
    small = [o for o in small if o.request.arrived >= SETTLE_S]
    answered = [o for o in small if not o.error]
    alone = outcomes
    if scenario.long_share:
        _, alone = play(scenario, seed, long=False, **options)
    return {
        "first p50": summary.first_p50,
        "first p99": summary.first_p99,
        "slowdown p99": slowdown(outcomes, alone),
        "late": summary.late,
        "refused": summary.refused,
        "small p99": callers.quantile([o.first_s for o in answered], 0.99),
        "small ok": len(answered) / max(1, len(small)),
        "long ok": summary.long_answered,
        "goodput": summary.goodput,
        "denied": simulated.denied,
        "unreachable": simulated.unreachable,
        "slowest refusal": summary.slowest_refusal_s,
        "lost": summary.lost,
    }


def slowdown(outcomes, alone, q=0.99):
    """Returns a quantile of the slowdown of short answers by long requests.

    Args:
        outcomes: The outcomes with long requests.
        alone: The outcomes without them.
        q: The quantile.
    """
    baseline = {o.request.id: o.total_s for o in alone if not o.error}
    return callers.quantile(
        [
            o.total_s / baseline[o.request.id]
            for o in outcomes
            if o.request.id in baseline and o.request.arrived >= SETTLE_S
        ],
        q,
    )


def main(names):
    selected = [n[1:] for n in names if n.startswith("=")]
    names = [n for n in names if not n.startswith("=")]
    variants = [(p, frozenset()) for p in policies.POLICIES]
    variants += [
        ("copperloom", frozenset([m])) for m in sorted(policies.MECHANISMS)
    ]
    for name in names or SCENARIOS:
        print(f"\n{name}: {SCENARIOS[name]}")
        for policy, disable in variants:
            if selected and " -".join([policy, *disable]) not in selected:
                continue
            runs = [
                measure(SCENARIOS[name], s, policy=policy, disable=disable)
                for s in SEEDS
            ]
            label = " -".join([policy, *disable])
            cells = [f"{label:24s}"]
            for key in runs[0]:
                median = sorted(r[key] for r in runs)[len(runs) // 2]
                cells.append(f"{key} {median:.3g}")
            print(" | ".join(cells), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
