"""Decodes the platform's rows into the types of `copperloom.routing`.

Other writers may spoil a row: fields missing or of another type, unknown
words, bytes that are no JSON. Such a row gives None here and a log line at
the caller; it must never raise into a controller or name a target, because
requests would then go to an address that nobody vouched for.
"""

import math

import msgspec

from copperloom import routing

__all__ = ["decode_target", "decode_table"]

_DEFAULT_IDLE_MS = 15_000
_DEFAULT_BODY_BYTES = 4 * 1024 * 1024
_MS = 1000.0
_MILLION = 1_000_000.0
# The kinds of routes on the wire, and what they mean to us.
_KINDS = {
    "idempotent": routing.RouteKind.IDEMPOTENT,
    "non_idempotent": routing.RouteKind.NON_IDEMPOTENT,
    "streaming": routing.RouteKind.STREAM,
}
_READY = "ready"
_DRAINING = "draining"


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 10_000.0
    target_latency_ms: float = 1_000.0
    priority: int = 5
    service: str | None = None
    backends: list[_Backend] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None


class _Delay(msgspec.Struct):
    delay_ms: float


class _Engine(msgspec.Struct):
    slots: int = 8
    kv_tokens: int = 0
    stride: int = 1
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    # Milliseconds for each 1,000 tokens of context.
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    # Milliseconds for each million pairs.
    pairs_per_m: float = 0.0
    chunk: int = 2048
    hop_ms: float = 0.0
    # One way between each two data centres.
    delays: list[_Delay] = []


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_body_bytes: int = _DEFAULT_BODY_BYTES
    idle_timeout_ms: float = _DEFAULT_IDLE_MS


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Table(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Target(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 1
    born: int = 0


_TABLE = msgspec.json.Decoder(_Table)
_TARGET = msgspec.json.Decoder(_Target)


def decode_table(raw: bytes) -> routing.RoutingTable | None:
    """Decodes the operators' document; None if it can't be read."""
    try:
        doc = _TABLE.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    if doc.version <= 0:
        return None
    routes = [r for r in (_route(r) for r in doc.routes) if r is not None]
    holders = None if doc.tenants is None else _holders(doc.tenants)
    limits = routing.RequestLimits(
        max_body_bytes=doc.limits.max_body_bytes,
        idle_timeout_s=doc.limits.idle_timeout_ms / _MS,
    )
    services = [_service(s) for s in doc.services]
    return routing.build(doc.version, routes, services, holders, limits)


def _route(raw: _Route) -> routing.Route | None:
    kind = _KINDS.get(raw.kind)
    if kind is None:
        return None
    backends = [
        routing.Backend(b.service, b.weight) for b in raw.backends or []
    ]
    if not backends and raw.service is not None:
        backends = [routing.Backend(raw.service, 1.0)]
    if not backends:
        return None
    pause_ms = raw.gap_aim_ms if raw.gap_aim_ms else raw.target_latency_ms
    return routing.Route(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.path_prefix,
        kind=kind,
        timeout_s=raw.timeout_ms / _MS,
        target_latency_s=raw.target_latency_ms / _MS,
        priority=raw.priority,
        backends=tuple(backends),
        max_attempts=max(1, raw.max_attempts),
        public=raw.public,
        resumable=raw.resumable and kind is routing.RouteKind.STREAM,
        pause_aim_s=pause_ms / _MS,
    )


def _service(raw: _Service) -> routing.ServiceSpec:
    own = raw.engine
    if own is None or own.read_per_s <= 0 or own.kv_tokens <= 0:
        return routing.ServiceSpec(raw.name)
    engine = routing.EngineSpec(
        slots=max(1, own.slots),
        kv_tokens=own.kv_tokens,
        stride=max(1, own.stride),
        step_s=own.step_ms / _MS,
        per_sequence_s=own.per_seq_ms / _MS,
        context_s=own.context_per_k / _MS / 1000.0,
        prefill_tokens_per_s=own.read_per_s,
        pair_s=own.pairs_per_m / _MS / _MILLION,
        chunk_tokens=max(1, own.chunk),
        hop_s=own.hop_ms / _MS,
        most_delay_s=max(
            (d.delay_ms / _MS for d in own.delays), default=math.inf
        ),
    )
    return routing.ServiceSpec(raw.name, engine)


def _holders(tenants: list[_Tenant]) -> dict[str, routing.KeyHolder]:
    return {
        key: routing.KeyHolder(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.api_keys
    }


def decode_target(name: str, raw: bytes | None) -> routing.TargetEntry | None:
    """Decodes a target's registration; None if it names no usable target."""
    if raw is None:
        return None
    try:
        doc = _TARGET.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    if doc.state not in (_READY, _DRAINING) or not _is_address(doc.address):
        return None
    if not doc.service or doc.slots < 1 or not name.isprintable():
        return None
    return routing.TargetEntry(
        name=name,
        service=doc.service,
        address=doc.address,
        data_centre=doc.zone,
        slots=doc.slots,
        draining=doc.state == _DRAINING,
        born_ms=doc.born,
    )


def _is_address(text: str) -> bool:
    """Tells whether a text is IPv4:port and nothing else."""
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not port.isascii() or not port.isdecimal():
        return False
    if not 0 < int(port[:6]) < 65_536:
        return False
    return all(
        p.isascii() and p.isdecimal() and len(p) <= 3 and int(p) < 256
        for p in parts
    )
