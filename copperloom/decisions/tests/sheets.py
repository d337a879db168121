"""Data sheets of fleets: their engines, and the prompts of their loads.

Besides the fleets in operation there are synthetic ones that differ in slots,
memory, speed and mix. Prompt lengths are drawn from a lognormal distribution
with the given mean and standard deviation, and truncated.
"""

import dataclasses
import math
import random

from copperloom import routing
from copperloom.decisions import iterations, plans
from copperloom.decisions.tests import emulator

__all__ = ["SHEETS", "Kind", "Sheet", "arrivals", "offered", "worth_share"]

# A caller abandons a stream after a silence of _ABANDON_S seconds or of these
# multiples of its objectives, whichever is longest.
_ABANDON_S = 2.0
_ABANDON_OBJECTIVES = 4.0
_ABANDON_GAPS = 8.0
# Round-trip time to a caller.
_NETWORK_S = 0.03
# The worth of a prompt grows with its length; bounds of the multiple of its
# kind's worth.
_MIN_WORTH = 0.3
_MAX_WORTH = 4.0
# Start and end of the burst.
_BURST_S = (5.0, 15.0)


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of prompt.

    Attributes:
        name: Name of the kind.
        per_s: Requests per second.
        tokens: Mean length, in tokens.
        spread: Standard deviation of the length, as a share of the mean.
        max_tokens: Largest length, in tokens.
        objective_s: First-token objective, in seconds.
        gap_objective_s: Inter-token objective, in seconds.
        answer: Tokens of an answer.
        worth: Worth of a prompt of mean length that meets its objectives.
        late_worth: Its worth if it misses an objective.
    """

    name: str
    per_s: float
    tokens: int
    spread: float
    max_tokens: int
    objective_s: float
    gap_objective_s: float
    answer: int
    worth: float
    late_worth: float


@dataclasses.dataclass(frozen=True)
class Sheet:
    """The engines and the load of one fleet.

    Attributes:
        engines: Number of engines.
        spec: Figures of the engines.
        kinds: The kinds of prompts.
    """

    engines: int
    spec: routing.EngineSpec
    kinds: tuple[Kind, ...]


def _spec(slots: int, kv_tokens: int, stride: int) -> routing.EngineSpec:
    return routing.EngineSpec(
        slots=slots,
        kv_tokens=kv_tokens,
        stride=stride,
        step_s=0.00085,
        per_sequence_s=0.00000425,
        context_s=0.00285e-6,
        prefill_tokens_per_s=177_000.0,
        pair_s=0.184e-9,
        chunk_tokens=2048,
        hop_s=0.00005,
    )


def _kinds(rates, middle, large) -> tuple[Kind, ...]:
    short, mid, long = rates
    return (
        Kind("short", short, 4960, 0.9, 23_800, 0.3, 0.25, 1600, 1.3, 0.33),
        Kind("middle", mid, 45_000, 0.5, 110_000, 1.5, 0.6, 1000, *middle),
        Kind(
            "long",
            long,
            large[0],
            0.55,
            700_000,
            large[1],
            1.0,
            800,
            *large[2:],
        ),
    )


def _today(engines: int, *rates: float) -> Sheet:
    spec = _spec(8, 315_000, 51)
    kinds = _kinds(rates, (4.2, 1.0), (154_000, 3.0, 21.0, 5.2))
    return Sheet(engines, spec, kinds)


def _grown(engines: int, *rates: float) -> Sheet:
    spec = _spec(6, 267_750, 57)
    kinds = _kinds(rates, (3.5, 0.88), (220_000, 4.0, 29.0, 7.4))
    return Sheet(engines, spec, kinds)


def _large(engines: int, *rates: float) -> Sheet:
    spec = _spec(5, 315_000, 80)
    short, mid, long = _kinds(rates, (3.1, 0.78), (220_000, 4.0, 26.0, 6.5))
    kinds = (
        dataclasses.replace(short, objective_s=0.421, gap_objective_s=0.3),
        dataclasses.replace(mid, gap_objective_s=0.8),
        dataclasses.replace(long, gap_objective_s=1.2),
    )
    return Sheet(engines, spec, kinds)


def _shifted(engines: int, *rates: float) -> Sheet:
    """Returns a fleet with more and longer prompts, and faster prefills."""
    spec = routing.EngineSpec(
        slots=6,
        kv_tokens=382_500,
        stride=52,
        step_s=0.000925,
        per_sequence_s=0.00000483,
        context_s=0.00254e-6,
        prefill_tokens_per_s=256_000.0,
        pair_s=0.0917e-9,
        chunk_tokens=2048,
        hop_s=0.0001,
    )
    short, mid, long = rates
    kinds = (
        Kind("short", short, 4960, 0.9, 23_800, 0.3, 0.2, 1716, 1.4, 0.34),
        Kind("middle", mid, 45_000, 0.5, 110_000, 1.5, 0.5, 1030, 2.6, 0.66),
        Kind("long", long, 300_000, 0.55, 1_000_000, 4.0, 0.8, 858, 30.0, 7.5),
    )
    return Sheet(engines, spec, kinds)


def _scaled(spec: routing.EngineSpec, prefill: float, decode: float):
    """Returns engines whose prefill and decode rates are multiplied."""
    return dataclasses.replace(
        spec,
        prefill_tokens_per_s=spec.prefill_tokens_per_s * prefill,
        pair_s=spec.pair_s / prefill,
        step_s=spec.step_s / decode,
    )


def _small_slow() -> Sheet:
    """Returns many engines with little memory and slow prefills."""
    kinds = (
        Kind("short", 60.0, 1500, 0.9, 8000, 0.4, 0.3, 800, 1.0, 0.3),
        Kind("middle", 4.0, 12_000, 0.5, 40_000, 1.5, 0.6, 600, 3.0, 0.8),
        Kind("long", 2.5, 50_000, 0.5, 150_000, 4.0, 1.0, 400, 12.0, 3.0),
    )
    return Sheet(40, _scaled(_spec(4, 120_000, 51), 0.33, 1.0), kinds)


def _few_fast() -> Sheet:
    """Returns few engines with many slots and fast prefills."""
    kinds = _kinds((16.0, 0.8, 0.35), (4.2, 1.0), (154_000, 3.0, 21.0, 5.2))
    return Sheet(6, _scaled(_spec(24, 1_000_000, 51), 2.0, 1.0), kinds)


def _short_only() -> Sheet:
    """Returns a load of short prompts that nearly fills the slots at a peak."""
    kinds = (Kind("short", 34.0, 4960, 0.9, 23_800, 0.3, 0.25, 1600, 1.3, 0.3),)
    return Sheet(14, _spec(8, 315_000, 51), kinds)


def _long_heavy() -> Sheet:
    """Returns a load of mostly long prompts of moderate worth."""
    kinds = (
        Kind("short", 3.0, 4960, 0.9, 23_800, 0.3, 0.25, 1600, 1.3, 0.3),
        Kind("long", 1.4, 120_000, 0.6, 400_000, 5.0, 1.5, 800, 6.0, 3.0),
    )
    return Sheet(16, _spec(8, 315_000, 51), kinds)


def _short_iterations() -> Sheet:
    """Returns engines with short iterations, and tight objectives."""
    kinds = (
        Kind("short", 30.0, 3000, 0.9, 16_000, 0.15, 0.1, 500, 1.3, 0.3),
        Kind("middle", 2.0, 45_000, 0.5, 110_000, 1.0, 0.3, 400, 4.2, 1.0),
        Kind("long", 0.8, 154_000, 0.5, 400_000, 2.5, 0.5, 300, 21.0, 5.2),
    )
    return Sheet(16, _spec(8, 315_000, 15), kinds)


# The numbers are those of engines and of requests per second by kind.
SHEETS = {
    "wroclaw": _today(14, 14.3, 0.724, 0.439),
    "oslo": _today(18, 18.4, 0.935, 0.565),
    "casablanca": _today(16, 16.4, 0.83, 0.5),
    "wroclaw-grown": _grown(45, 36.2, 2.3, 0.979),
    "oslo-grown": _grown(60, 48.4, 3.07, 1.32),
    "wroclaw-shifted": _shifted(78, 49.9, 7.95, 1.35),
    "wroclaw-large": _large(112, 77.0, 5.65, 1.88),
    # A fleet with many instances may have few engines.
    "few-before-hundreds": _large(10, 7.0, 0.5, 0.17),
    "small-slow": _small_slow(),
    "few-fast": _few_fast(),
    "short-only": _short_only(),
    "long-heavy": _long_heavy(),
    "short-passes": _short_iterations(),
}


def arrivals(
    sheet: Sheet, rng: random.Random, seconds: float, burst: float
) -> list[emulator.Arrival]:
    """Draws a load; its rates are multiplied by `burst` between 5 and 15 s."""

    def rate_factor(at: float) -> float:
        return burst if _BURST_S[0] < at < _BURST_S[1] else 1.0

    found = [
        emulator.Arrival(at, _prompt(kind, rng))
        for kind in sheet.kinds
        for at in emulator.times(
            rng, seconds, lambda at, kind=kind: kind.per_s * rate_factor(at)
        )
    ]
    return sorted(found, key=lambda a: a.at)


def _prompt(kind: Kind, rng: random.Random) -> plans.Prompt:
    sigma = math.sqrt(math.log(1 + kind.spread**2))
    drawn = rng.lognormvariate(math.log(kind.tokens) - sigma**2 / 2, sigma)
    tokens = int(min(kind.max_tokens, max(50, drawn)))
    return plans.Prompt(
        tokens, kind.answer, kind.objective_s, kind.gap_objective_s
    )


def _kind(sheet: Sheet, prompt: plans.Prompt) -> Kind:
    return next(
        k for k in sheet.kinds if k.objective_s == prompt.first_token_aim_s
    )


def _worth(kind: Kind, prompt: plans.Prompt) -> float:
    size = prompt.tokens / kind.tokens
    return min(_MAX_WORTH, _MIN_WORTH + (1 - _MIN_WORTH) * size)


def worth_share(sheet: Sheet, served) -> dict[str, float]:
    """Returns the share of the worth that was served, by kind and in all."""
    offered_worth = dict.fromkeys([k.name for k in sheet.kinds], 0.0)
    served_worth = dict(offered_worth)
    for one in served:
        kind = _kind(sheet, one.arrival.prompt)
        size = _worth(kind, one.arrival.prompt)
        offered_worth[kind.name] += size * kind.worth
        served_worth[kind.name] += size * _earned(kind, one)
    shares = {
        k: served_worth[k] / offered_worth[k]
        for k in offered_worth
        if offered_worth[k]
    }
    return shares | {
        "all": sum(served_worth.values()) / sum(offered_worth.values())
    }


def _earned(kind: Kind, one: emulator.Served) -> float:
    if one.first_s is None or one.first_s > max(
        _ABANDON_S, _ABANDON_OBJECTIVES * kind.objective_s
    ):
        return 0.0
    if one.gap_s > max(_ABANDON_S, _ABANDON_GAPS * kind.gap_objective_s):
        return 0.0
    met = one.meets_objectives() and one.first_s < kind.objective_s - _NETWORK_S
    return kind.worth if met else kind.late_worth


def offered(
    sheet: Sheet, load: list[emulator.Arrival], window_s: float
) -> float:
    """Returns the prefill time offered in the busiest window.

    It is relative to the capacity of all engines: above 1, some requests are
    late or refused under any policy.
    """
    sums: dict[int, float] = {}
    for arrival in load:
        window = int(arrival.at // window_s)
        prefill_s = iterations.prefill_s(sheet.spec, arrival.prompt.tokens)
        sums[window] = sums.get(window, 0.0) + prefill_s
    return max(sums.values()) / (window_s * sheet.engines)
