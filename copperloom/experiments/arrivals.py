"""Open-loop arrivals of a mix, reproducible by seed.

Requests arrive as a Poisson process, independently of the answers, so that a
slow system still receives the full load. Prompt lengths are log-uniform within
their group.
"""

import dataclasses
import math
import random

from copperloom.experiments import mixes

__all__ = [
    "LONG",
    "MIDDLE",
    "SERVICE",
    "SHORT",
    "Arrival",
    "arrivals",
    "without_long",
]

SHORT = "short"
MIDDLE = "middle"
LONG = "long"
SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request to send.

    Attributes:
        index: Its position in the whole list; unchanged when other requests
            are removed from the list.
        at_s: Arrival time in seconds from the start of the run.
        organisation: Name of the sender.
        group: "short", "middle", "long" or "service".
        prompt_tokens: Length of the prompt; 0 for a service call.
        answer_tokens: Length of the answer; 0 for a service call.
        prefix: Index of the organisation's shared prefix that its prompt
            starts with; -1 for none.
        key: Idempotency key; "" if the request may be repeated.
    """

    index: int
    at_s: float
    organisation: str
    group: str
    prompt_tokens: int
    answer_tokens: int
    prefix: int = -1
    key: str = ""


def arrivals(mix: mixes.LoadSettings, *, seed: int) -> list[Arrival]:
    """Returns all requests of a run, drawn at random.

    Args:
        mix: The mix.
        seed: Seed of the generator; also part of the idempotency keys.

    Returns:
        The requests in order of arrival.
    """
    rng = random.Random(seed)
    names = mixes.organisation_names(mix)
    weights = _organisation_weights(mix.organisations)
    requests = []
    at_s = rng.expovariate(mix.load.rate_per_s)
    while at_s < mix.load.duration_s:
        name = rng.choices(names, weights)[0]
        requests.append(_draw(rng, mix, len(requests), at_s, name, seed))
        at_s += rng.expovariate(mix.load.rate_per_s)
    return requests


def without_long(requests: list[Arrival]) -> list[Arrival]:
    """Returns the requests without the long prompts, otherwise unchanged."""
    return [a for a in requests if a.group != LONG]


def _organisation_weights(
    section: mixes.OrganisationsSection,
) -> list[float]:
    large = min(section.large, section.count)
    small = section.count - large
    if not large or not small:
        return [1.0] * section.count
    each_large = section.large_share / large
    each_small = (1 - section.large_share) / small
    return [each_large] * large + [each_small] * small


def _draw(
    rng: random.Random,
    mix: mixes.LoadSettings,
    index: int,
    at_s: float,
    organisation: str,
    seed: int,
) -> Arrival:
    # Every request uses the same number of draws, so that changing one share
    # leaves the other requests unchanged.
    (
        service_draw,
        group_draw,
        length_draw,
        once_draw,
        prefix_draw,
        choice_draw,
    ) = (rng.random() for _ in range(6))
    key = f"{mix.load.name}-{seed}-{index}"
    if service_draw < mix.services.share:
        key = key if once_draw < mix.services.once_share else ""
        return Arrival(index, at_s, organisation, SERVICE, 0, 0, key=key)
    group, section = _choose_group(mix, group_draw)
    prompt_tokens = _log_uniform(length_draw, section)
    prefix = int(choice_draw * mix.load.prefixes)
    has_prefix = prefix_draw < mix.load.prefix_share
    has_key = group == LONG and once_draw < mix.long.once_share
    return Arrival(
        index,
        at_s,
        organisation,
        group,
        prompt_tokens,
        section.answer_tokens,
        prefix=prefix if has_prefix else -1,
        key=key if has_key else "",
    )


def _choose_group(mix: mixes.LoadSettings, draw: float):
    total = mix.short.share + mix.middle.share + mix.long.share
    draw *= total
    if draw < mix.long.share:
        return LONG, mix.long
    if draw < mix.long.share + mix.middle.share:
        return MIDDLE, mix.middle
    return SHORT, mix.short


def _log_uniform(draw: float, section) -> int:
    low = math.log(section.low_tokens)
    high = math.log(section.high_tokens)
    return round(math.exp(low + draw * (high - low)))
