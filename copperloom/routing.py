"""Routes, services, organisations and targets by which requests are routed.

All types are immutable. A new version replaces the whole table at once, so a
request uses a single version from its first line to its response.
"""

import dataclasses
import enum
import math
import random

__all__ = [
    "DEFAULT_CHECK_PATH",
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

# Path of checks of a service that states none; any answer to it will do.
DEFAULT_CHECK_PATH = "/"


class RouteKind(enum.StrEnum):
    """How a request on a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Backend:
    """A service to which a route sends a share of its requests.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests, relative to the others'.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The rule for requests to a host and path prefix.

    Attributes:
        name: Unique name.
        host: Host without port, in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: How requests may be retried.
        timeout_s: Maximum time until the final response, in seconds.
        target_latency_s: Latency objective for the response (for a stream, its
            first event), in seconds.
        priority: Rank among routes; 0 is the highest priority.
        backends: Services that the requests are divided among.
        max_attempts: Maximum number of targets that a request may be sent to.
        public: Whether requests need no API key.
        resumable: Whether another target may continue a broken stream.
        pause_aim_s: Objective for the gap between events of a stream, in
            seconds.
        allowed_regions: Regions where its requests may run; None for all.
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
    allowed_regions: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity and speed of a model engine, as stated by its operators.

    Attributes:
        slots: Maximum number of requests that decode at once.
        kv_tokens: KV memory, in tokens of context.
        stride: Decode steps in an iteration.
        step_s: Base time of a step, in seconds.
        per_sequence_s: Seconds added to a step by each decoding request.
        context_s: Seconds added to a step by each token of a decoding
            request's context.
        prefill_tokens_per_s: Prompt tokens prefilled per second.
        pair_s: Seconds added to a prefill by each pair of a prompt token and an
            earlier one.
        chunk_tokens: Maximum number of prompt tokens prefilled in a step.
        hop_s: Seconds added to a decode step of a request whose prompt was
            prefilled in parts.
        most_delay_s: Maximum one-way delay between data centres that have
            engines, in seconds; inf if not stated.
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
    """A service that routes send requests to.

    Attributes:
        name: Unique name.
        engine: Performance of its model engines; None for a plain service.
        check_path: Path of a GET request that targets answer.
        cold_start_s: Time for which a target is cold after a start, in seconds.
        cold_per_s: Requests per second that a cold target bears from all
            instances together; 0 if its targets are never cold.
        health_path: Path of the health check, which an engine answers only if
            it has a free slot.
    """

    name: str
    engine: EngineSpec | None = None
    check_path: str = DEFAULT_CHECK_PATH
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    health_path: str = DEFAULT_CHECK_PATH


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHolder:
    """The organisation that an API key belongs to.

    Attributes:
        name: Its name.
        priority: Rank that overrides the route's; None if it has none.
        allowed_regions: Regions where its requests may run; None for all.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on what callers may send.

    Attributes:
        max_header_bytes: Maximum size of a request's head, and of its chunk
            lines and trailers beyond what its body needs.
        max_body_bytes: Maximum size of a request body.
        header_timeout_s: Maximum time from the first to the last byte of a
            head, in seconds.
        idle_timeout_s: Time without a byte after which a connection is closed
            that is idle or receives a body, in seconds.
    """

    max_header_bytes: int = 65_536
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 15.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as it registered itself.

    Attributes:
        name: Name of the target.
        service: Service that it belongs to.
        address: IP:port.
        data_centre: Its data centre.
        slots: Maximum number of requests that it serves at once.
        draining: Whether it accepts no new work.
        born_ms: When it started, in ms since the epoch; 0 if not stated. A
            later start under the same name is a target that has lost its state.
        cold_remaining_s: How much longer it was cold when it registered, in
            seconds.
        sequence: Number that rises with each registration of one start.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    born_ms: int = 0
    cold_remaining_s: float = 0.0
    sequence: int = 0


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """A version of everything that requests are routed by.

    Attributes:
        version: Version of the table; 0 before any is known.
        routes: Routes by (host, path_prefix).
        services: Services by name.
        organisations: Organisations by API key.
        keyed: Whether routes that are not public need an API key.
        limits: Limits on what callers may send.
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
    """Builds a table; without `organisations` no API key is needed."""
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

    Prefixes end with a slash, so only the prefixes of the path up to each of
    its slashes are looked up: the cost does not grow with the number of routes.

    Args:
        table: The routing table.
        host: The Host header; a port is ignored.
        path: The path as sent, without the query.

    Returns:
        The route, or None if there is none.
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
        rng: Random number generator.

    Returns:
        Name of the service.
    """
    live = [b for b in route.backends if b.service in usable and b.weight > 0]
    among = live or list(route.backends)
    weights = [b.weight for b in among]
    if sum(weights) <= 0:
        return among[0].service
    return rng.choices(among, weights)[0].service
