"""What the operators route by: routes, services, organisations, targets.

All types are immutable; a new version replaces the whole table at once, so a
request sees one version from its first line to its answer.
"""

import dataclasses
import enum
import math
import random

__all__ = [
    "Backend",
    "EngineSpec",
    "KeyHolder",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RoutingTable",
    "ServiceSpec",
    "TargetEntry",
    "build",
    "choose_service",
    "match",
]


class RouteKind(enum.StrEnum):
    """What may be done with a request on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """One of the services that a route divides its requests among.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests, relative to the others'.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path go.

    Attributes:
        name: Unique name.
        host: Host without port, in lower case.
        path_prefix: Start of the path; begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time until the final answer.
        target_latency_s: Time to the answer (a stream's first event) within
            which the caller is well served.
        priority: Rank among routes; 0 goes first.
        backends: The services.
        max_attempts: Most targets that one request may be sent to.
        public: Whether requests need no key.
        resumable: Whether a broken stream may go on at another target.
        pause_aim_s: Longest pause between events of a well-served stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    backends: tuple[Backend, ...]
    max_attempts: int
    public: bool = False
    resumable: bool = False
    pause_aim_s: float = 1.0

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """How fast a model engine works, as its operators state it.

    Attributes:
        slots: Requests that write at once.
        kv_tokens: Memory, in tokens of context.
        stride: Steps of one pass while answers are written.
        step_s: Time of a step.
        per_sequence_s: Added to a step by each answer being written.
        context_s: Added to a step by each token of an answer's context.
        prefill_tokens_per_s: Prompt tokens read in a second.
        pair_s: Added by each pair of a prompt token and an earlier one.
        chunk_tokens: Most prompt tokens read in a step.
        hop_s: Added to a step of an answer whose prompt was read in parts.
        most_delay_s: Longest way between data centres that have engines; inf
            if that is not stated.
    """

    slots: int
    kv_tokens: int
    stride: int
    step_s: float
    per_sequence_s: float
    context_s: float
    prefill_tokens_per_s: float
    pair_s: float
    chunk_tokens: int
    hop_s: float = 0.0
    most_delay_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service that routes lead to.

    Attributes:
        name: Unique name.
        engine: Figures of its model engines; None for a plain service.
    """

    name: str
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHolder:
    """The organisation that an API key belongs to.

    Attributes:
        name: Its name.
        priority: Rank that goes before the route's; None if it has none.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds of what callers may send.

    Attributes:
        max_body_bytes: Longest body.
        idle_timeout_s: How long a kept connection may stay idle.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as it registered itself.

    Attributes:
        name: Name of this start of the target.
        service: Service that it belongs to.
        address: IP:port.
        data_centre: Where it stands.
        slots: Requests that it works on at once.
        draining: Whether it takes no new work.
        born_ms: When it started, where it says so (ms since the epoch). The
            same name with a later start is a target that remembers nothing.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    born_ms: int = 0


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One version of everything that requests are routed by.

    Attributes:
        version: 0 before any is known.
        routes: By (host, path_prefix).
        services: By name.
        organisations: By API key.
        keyed: Whether routes that aren't public need a key.
        limits: Bounds of what callers may send.
    """

    version: int = 0
    routes: dict[tuple[str, str], Route] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, ServiceSpec] = dataclasses.field(default_factory=dict)
    organisations: dict[str, KeyHolder] = dataclasses.field(
        default_factory=dict
    )
    keyed: bool = False
    limits: RequestLimits = RequestLimits()


def build(
    version: int,
    routes: list[Route],
    services: list[ServiceSpec],
    organisations: dict[str, KeyHolder] | None,
    limits: RequestLimits,
) -> RoutingTable:
    """Makes a table; `organisations` None means that no key is needed."""
    return RoutingTable(
        version=version,
        routes={(r.host, r.path_prefix): r for r in routes},
        services={s.name: s for s in services},
        organisations=organisations or {},
        keyed=organisations is not None,
        limits=limits,
    )


def match(table: RoutingTable, host: str, path: str) -> Route | None:
    """Finds the route with the longest prefix of a path.

    Prefixes end with a slash, so only the starts of the path up to each of
    its slashes are looked up: the cost does not grow with the routes.

    Args:
        table: The routes.
        host: The Host header; a port is ignored.
        path: The path as sent, without the query.

    Returns:
        The route, or None.
    """
    name = host.partition(":")[0].lower()
    end = path.rfind("/")
    while end >= 0:
        route = table.routes.get((name, path[: end + 1]))
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_service(
    route: Route, usable: frozenset[str], rng: random.Random
) -> str:
    """Draws one of a route's services by weight.

    Args:
        route: The route.
        usable: Services that have targets; others are drawn only if no
            service of the route has any.
        rng: Source of the draw.

    Returns:
        The service's name.
    """
    live = [b for b in route.backends if b.service in usable and b.weight > 0]
    among = live or list(route.backends)
    weights = [b.weight for b in among]
    if sum(weights) <= 0:
        return among[0].service
    return rng.choices(among, weights)[0].service
