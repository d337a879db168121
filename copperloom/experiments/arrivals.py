"""Open-loop arrivals of a mix: the same seed gives the same list.

Requests come as a Poisson process whatever the answers do, so that a slow
system meets its full load. Prompt lengths are log-uniform within their group.
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
        index: Its place in the whole list; also kept when others are left out.
        at_s: When it comes, in seconds from the start.
        organisation: Who sends it.
        group: "short", "middle", "long" or "service".
        prompt_tokens: Length of the prompt; 0 for a service call.
        answer_tokens: Length of the answer; 0 for a service call.
        prefix: Which of the organisation's starts it has; -1 for none.
        key: Idempotency key; "" if it may be repeated.
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
    """Draws all requests of a run.

    Args:
        mix: The mix.
        seed: Seed of everything random; it also marks the keys.

    Returns:
        The requests in the order of their times.
    """
    rng = random.Random(seed)
    names = mixes.organisation_names(mix)
    weights = _organisation_weights(mix.organisations)
    out = []
    at_s = rng.expovariate(mix.load.rate_per_s)
    while at_s < mix.load.duration_s:
        name = rng.choices(names, weights)[0]
        out.append(_draw(rng, mix, len(out), at_s, name, seed))
        at_s += rng.expovariate(mix.load.rate_per_s)
    return out


def without_long(requests: list[Arrival]) -> list[Arrival]:
    """Leaves out the long prompts; the rest stays as it was."""
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
    # Every request takes the same number of draws, so that a change of one
    # share leaves the other requests as they were.
    service, group, length, once, prefix, which = (
        rng.random() for _ in range(6)
    )
    key = f"{mix.load.name}-{seed}-{index}"
    if service < mix.services.share:
        key = key if once < mix.services.once_share else ""
        return Arrival(index, at_s, organisation, SERVICE, 0, 0, key=key)
    name, section = _group(mix, group)
    prompt_tokens = _log_uniform(length, section)
    chosen = int(which * mix.load.prefixes)
    has_prefix = prefix < mix.load.prefix_share
    has_key = name == LONG and once < mix.long.once_share
    return Arrival(
        index,
        at_s,
        organisation,
        name,
        prompt_tokens,
        section.answer_tokens,
        prefix=chosen if has_prefix else -1,
        key=key if has_key else "",
    )


def _group(mix: mixes.LoadSettings, draw: float):
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
