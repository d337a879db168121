"""Messages that the filters, decisions and controllers share."""

import dataclasses

from copperloom import configuration

__all__ = ["Placement", "Refusal", "Request"]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An accepted request, with all that decisions need.

    Attributes:
        id: Unique name, INSTANCE.BOOT.SEQUENCE; also the name of its stream.
        organisation: Name of the organisation.
        weight: The organisation's weight under contention.
        deployment: Name of the deployment.
        kind: Kind of target: a model engine or a plain service.
        model: Model name; "" for a plain service.
        prompt_tokens: Estimated number of prompt tokens.
        max_tokens: Maximum number of tokens to generate.
        arrived: Monotonic time of arrival, in seconds.
        deadline: Monotonic time by which it must be completed or refused.
        version: Version of the configuration that it was admitted under.
        prefix: Hash of the prompt's prefix; "" if too short to be cached.
        key: Idempotency key; "" if none.
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
    """The targets that a request is sent to.

    Attributes:
        request: The request.
        targets: Names of the targets: the lead engine, then the helper engines
            for parts of a prompt that does not fit into one engine.
        tokens: KV tokens to use at each target, in the same order.
        priority: Priority at the engine; the highest is served first.
        long: Whether it counts as long work, which needs a reservation by each
            target's owner before it is sent.
    """

    request: Request
    targets: tuple[str, ...]
    tokens: tuple[int, ...]
    priority: int
    long: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is refused before anything was sent to a target.

    Attributes:
        request: The request.
        error: Class name in copperloom.exception, such as "OverloadedError".
        message: Message for the caller.
        retry_after_s: Seconds after which the caller may retry.
    """

    request: Request
    error: str
    message: str
    retry_after_s: float
