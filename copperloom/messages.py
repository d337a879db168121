"""Typed messages that the filters, decisions and controllers share."""

import dataclasses

from copperloom import configuration

__all__ = ["Placement", "Refusal", "Request"]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that passed the door, with all that decisions need.

    Attributes:
        id: Unique name, INSTANCE.BOOT.SEQUENCE; also names its stream.
        organisation: Name of the organisation.
        weight: The organisation's weight under contention.
        deployment: Name of the deployment.
        kind: Engine work or a service call.
        model: Model name ("" for a service call).
        prompt_tokens: Estimated tokens of the prompt.
        max_tokens: Most tokens of the answer.
        arrived: Monotonic time at the door, in seconds.
        deadline: Monotonic time by which it must have its outcome.
        version: Version of the configuration that it was admitted under.
        prefix: Hash of the prompt's start, "" if too short to be cached.
        key: Idempotency key, "" if none.
        repeatable: Whether it may run more than once.
    """

    id: str
    organisation: str
    weight: float
    deployment: str
    kind: configuration.TargetKind
    model: str
    prompt_tokens: int
    max_tokens: int
    arrived: float
    deadline: float
    version: int
    prefix: str = ""
    key: str = ""
    repeatable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    Attributes:
        request: The request.
        targets: Names of the targets; the first leads, further ones hold
            parts of a prompt that is larger than one engine.
        tokens: KV tokens to take at each target, in the same order.
        priority: Priority at the engine; greater goes first.
        long: Whether it counts as long work, which needs the consent of each
            target's owner before it is sent.
    """

    request: Request
    targets: tuple[str, ...]
    tokens: tuple[int, ...]
    priority: int
    long: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is given up before anything was sent to a target.

    Attributes:
        request: The request.
        error: Class name in copperloom.exception, such as "OverloadedError".
        message: For the caller.
        retry_after_s: When to come back.
    """

    request: Request
    error: str
    message: str
    retry_after_s: float
