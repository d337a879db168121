"""Prompts, candidate targets and the possible outcomes of a placement."""

import dataclasses

from copperloom.decisions import inflight

__all__ = [
    "Candidate",
    "Choice",
    "Hold",
    "Plan",
    "Prompt",
    "Queued",
    "Refusal",
    "Deferral",
    "worth",
]

# Prompts up to SHORT_TOKENS are short: their prefill fits into one or two
# engine iterations. Prompts above LONG_TOKENS are long: they may be deferred
# or refused.
SHORT_TOKENS = 16_000
LONG_TOKENS = 100_000
# The worth of a prompt is linear in its length; the unit is the worth of a
# prompt of 5,000 tokens. A prompt of 150,000 tokens is worth some sixteen times
# as much.
MIN_WORTH = 0.5
TOKEN_WORTH = 0.0001


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt to be placed.

    Attributes:
        tokens: Tokens of the prompt.
        answer_tokens: Estimated tokens of the answer.
        first_token_aim_s: Objective for the time to the first token, in
            seconds.
        pause_aim_s: Inter-token objective, in seconds.
        waited_s: Time that it has waited already, in seconds.
    """

    tokens: int
    answer_tokens: int
    first_token_aim_s: float
    pause_aim_s: float
    waited_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may be chosen.

    Attributes:
        name: Name of the target.
        load: Its work in progress.
        penalty: Penalty for its recent failures.
        slots: Requests that it processes concurrently.
        is_local: Whether it is in the same data centre.
        may_help: Whether it may prefill a part of another engine's prompt.
        is_cold: Whether it has just started and is slow.
        speed: Factor of its times relative to other targets, see
            `target_speed`.
    """

    name: str
    load: inflight.TargetLoad
    penalty: float
    slots: int
    is_local: bool = False
    may_help: bool = True
    is_cold: bool = False
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A reservation of KV-cache memory.

    Attributes:
        target: Name of the target.
        tokens: Memory to reserve there, in tokens.
    """

    target: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The placement of a request.

    Attributes:
        lead: The target that gets the request and decodes the answer.
        helpers: Targets that prefill the other parts of the prompt.
        part_s: Predicted prefill time of each part, in seconds.
        first_token_s: Predicted time to the first token, in seconds.
        cost: Total cost of the placement, in units of worth.
        holds: Memory to reserve at helpers, for a prompt that exceeds the
            memory of one engine.
        speed: Factor that the predicted times of the lead include.
        shows_speed: Whether the time of the attempt will show the speed of the
            lead: it alone does the work, and has no other work that delays it.
    """

    lead: str
    helpers: tuple[str, ...]
    part_s: float
    first_token_s: float
    cost: float
    holds: tuple[Hold, ...] = ()
    speed: float = 1.0
    shows_speed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Deferral:
    """The deferral of a prompt until engines become free.

    Attributes:
        delay_s: Time until it is placed again, in seconds.
        plan: The best plan at present.
    """

    delay_s: float
    plan: Plan


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a prompt that would cost others more than it is worth.

    Attributes:
        plan: The best plan at present.
    """

    plan: Plan


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The position of a request whose turn has not come.

    Attributes:
        wait_s: Predicted wait in seconds; 0 if not known.
        recheck_s: Time until it should ask again, in seconds.
        ahead: Number of requests ahead of it.
        is_refused: Whether it is refused instead of waiting.
        is_over_share: Whether its organisation is over its fair share.
        used: Recent usage of its organisation, decayed.
        share: Fair share in the same unit; None if all demands were met.
    """

    wait_s: float
    recheck_s: float
    ahead: int
    is_refused: bool = False
    is_over_share: bool = False
    used: float = 0.0
    share: float | None = None


# None if no target has a free slot and enough memory.
Choice = Plan | Deferral | Refusal | Queued | None


def worth(tokens: int) -> float:
    """Returns the worth of a prompt, in units of a short prompt."""
    return MIN_WORTH + TOKEN_WORTH * tokens
