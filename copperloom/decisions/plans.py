"""What is placed, where it could go, and where it goes."""

import dataclasses

from copperloom.decisions import inflight

__all__ = [
    "Candidate",
    "Choice",
    "Hold",
    "Plan",
    "Prompt",
    "Refusal",
    "Deferral",
    "worth",
]

# Tokens up to which a prompt counts as short: read within a pass or two. Above
# the second figure it is long: worth reading in parts and waiting for engines.
SHORT_TOKENS = 16_000
LONG_TOKENS = 100_000
# What any prompt is worth, and what each token adds, in units of a prompt of
# 5,000 tokens: who sends 150,000 has some sixteen times as much at stake.
LEAST_WORTH = 0.5
TOKEN_WORTH = 0.0001


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What is to be placed.

    Attributes:
        tokens: Tokens of the prompt.
        answer_tokens: Tokens of the answer, as far as can be guessed.
        first_token_aim_s: When its first token should come.
        pause_aim_s: Longest pause that its caller accepts.
        waited_s: How long it has waited already.
    """

    tokens: int
    answer_tokens: int
    first_token_aim_s: float
    pause_aim_s: float
    waited_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that the work could go to.

    Attributes:
        name: Its name.
        load: What it has in progress.
        penalty: Its failures of late.
        slots: Requests that it works on at once.
        is_local: Whether it stands in the same data centre.
    """

    name: str
    load: inflight.TargetLoad
    penalty: float
    slots: int
    is_local: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Memory to reserve.

    Attributes:
        target: Where.
        tokens: How much.
    """

    target: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Where a request goes.

    Attributes:
        lead: The target that gets the request.
        helpers: Targets that read parts.
        part_s: Predicted reading at each of them.
        first_token_s: Predicted time to the first token.
        cost: What was weighed, in units of worth.
        holds: Memory to reserve at helpers, for a prompt that is larger than
            the memory of one engine.
    """

    lead: str
    helpers: tuple[str, ...]
    part_s: float
    first_token_s: float
    cost: float
    holds: tuple[Hold, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Deferral:
    """A prompt is held for a moment, because engines come free.

    Attributes:
        delay_s: How long, before it is looked at again.
        plan: What could be done now.
    """

    delay_s: float
    plan: Plan


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A prompt takes more from others than it is worth.

    Attributes:
        plan: What could be done now.
    """

    plan: Plan


# None: no target has a free slot and memory.
Choice = Plan | Deferral | Refusal | None


def worth(tokens: int) -> float:
    """Returns what a caller has at stake, in units of a short prompt."""
    return LEAST_WORTH + TOKEN_WORTH * tokens
