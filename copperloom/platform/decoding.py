"""Decodes the platform's rows into the types of `copperloom.routing`.

Rows are written by other programs and may be malformed: missing fields, wrong
types, unknown values, invalid JSON. A malformed row decodes to None, and the
caller logs it. It must neither raise an exception in a controller nor yield a
target, because requests would then be sent to an unverified address.
"""

import math

import msgspec

from copperloom import routing
from copperloom.utils import malformed

__all__ = ["decode_target", "decode_table"]

_DEFAULT_IDLE_MS = 15_000
_DEFAULT_HEADER_BYTES = 65_536
_DEFAULT_BODY_BYTES = 4 * 1024 * 1024
_DEFAULT_HEADER_MS = 15_000
_MS = 1000.0
_MILLION = 1_000_000.0
# Route kinds by their name in the document.
_KINDS = {
    "idempotent": routing.RouteKind.IDEMPOTENT,
    "non_idempotent": routing.RouteKind.NON_IDEMPOTENT,
    "streaming": routing.RouteKind.STREAM,
}
_READY = "ready"
_DRAINING = "draining"
_REPORT_PATH = "/copperloom/report"


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
    allowed_regions: list[str] | None = None


class _Delay(msgspec.Struct):
    delay_ms: float


class _Engine(msgspec.Struct):
    slots: int = 8
    kv_tokens: int = 0
    stride: int = 1
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    # Milliseconds per 1,000 tokens of context.
    context_per_k: float = 0.0
    read_per_s: float = 0.0
    # Milliseconds per million pairs of tokens.
    pairs_per_m: float = 0.0
    chunk: int = 2048
    hop_ms: float = 0.0
    # One-way delay between each pair of data centres.
    delays: list[_Delay] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    engine: _Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = _DEFAULT_HEADER_BYTES
    max_body_bytes: int = _DEFAULT_BODY_BYTES
    header_timeout_ms: float = _DEFAULT_HEADER_MS
    idle_timeout_ms: float = _DEFAULT_IDLE_MS


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] | None = None


class _Table(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Target(msgspec.Struct):
    """A registration. One that lacks a field is not written by a target."""

    service: str
    address: str
    state: str
    zone: str
    version: str
    slots: int
    seq: int
    cold_remaining_ms: float
    born: int = 0


_TABLE = msgspec.json.Decoder(_Table)
_TARGET = msgspec.json.Decoder(_Target)


def decode_table(raw: bytes) -> routing.RoutingTable | None:
    """Returns the decoded routing document, or None if it is malformed."""
    try:
        doc = _TABLE.decode(raw)
    except malformed.ERRORS:
        return None
    if doc.version <= 0:
        return None
    routes = [r for r in (_route(r) for r in doc.routes) if r is not None]
    key_holders = None if doc.tenants is None else _key_holders(doc.tenants)
    limits = routing.RequestLimits(
        max_header_bytes=doc.limits.max_header_bytes,
        max_body_bytes=doc.limits.max_body_bytes,
        header_timeout_s=doc.limits.header_timeout_ms / _MS,
        idle_timeout_s=doc.limits.idle_timeout_ms / _MS,
    )
    services = [_service(s) for s in doc.services]
    return routing.build(doc.version, routes, services, key_holders, limits)


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
    gap_ms = raw.gap_aim_ms if raw.gap_aim_ms else raw.target_latency_ms
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
        pause_aim_s=gap_ms / _MS,
        allowed_regions=_regions(raw.allowed_regions),
    )


def _regions(names: list[str] | None) -> frozenset[str] | None:
    """Returns the regions of a list; an absent or empty list allows all."""
    return frozenset(names) if names else None


def _service(raw: _Service) -> routing.ServiceSpec:
    spec = raw.engine
    cold_start_s = max(0.0, raw.cold_start_s)
    cold_per_s = max(0.0, raw.cold_per_s)
    health_path = raw.health_path or routing.DEFAULT_CHECK_PATH
    if spec is None or spec.read_per_s <= 0 or spec.kv_tokens <= 0:
        return routing.ServiceSpec(
            raw.name,
            check_path=health_path,
            cold_start_s=cold_start_s,
            cold_per_s=cold_per_s,
            health_path=health_path,
        )
    engine = routing.EngineSpec(
        slots=max(1, spec.slots),
        kv_tokens=spec.kv_tokens,
        stride=max(1, spec.stride),
        step_s=spec.step_ms / _MS,
        per_sequence_s=spec.per_seq_ms / _MS,
        context_s=spec.context_per_k / _MS / 1000.0,
        prefill_tokens_per_s=spec.read_per_s,
        pair_s=spec.pairs_per_m / _MS / _MILLION,
        chunk_tokens=max(1, spec.chunk),
        hop_s=spec.hop_ms / _MS,
        most_delay_s=max(
            (d.delay_ms / _MS for d in spec.delays), default=math.inf
        ),
    )
    # Unlike the health check, a report needs no free slot.
    return routing.ServiceSpec(
        raw.name,
        engine,
        check_path=_REPORT_PATH,
        cold_start_s=cold_start_s,
        cold_per_s=cold_per_s,
        health_path=health_path,
    )


def _key_holders(tenants: list[_Tenant]) -> dict[str, routing.KeyHolder]:
    return {
        key: routing.KeyHolder(
            tenant.name, tenant.priority, _regions(tenant.allowed_regions)
        )
        for tenant in tenants
        for key in tenant.api_keys
    }


def decode_target(name: str, raw: bytes | None) -> routing.TargetEntry | None:
    """Returns a target's decoded registration, or None if it is unusable."""
    if raw is None:
        return None
    try:
        doc = _TARGET.decode(raw)
    except malformed.ERRORS:
        return None
    if doc.state not in (_READY, _DRAINING) or not _is_address(doc.address):
        return None
    if not doc.service or doc.slots < 1 or not name.isprintable():
        return None
    if not math.isfinite(doc.cold_remaining_ms):
        return None
    return routing.TargetEntry(
        name=name,
        service=doc.service,
        address=doc.address,
        data_centre=doc.zone,
        slots=doc.slots,
        draining=doc.state == _DRAINING,
        born_ms=doc.born,
        cold_remaining_s=max(0.0, doc.cold_remaining_ms) / _MS,
        sequence=doc.seq,
    )


def _is_address(text: str) -> bool:
    """Returns whether the text has the form IPv4:port."""
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
