"""Observes how fast targets answer, and exchanges it with other instances."""

from copperloom import logs, routing
from copperloom.decisions import decode_rate, registry, target_speed
from copperloom.ingress import exchange, metrics, wire_knowledge
from copperloom.ingress.state import IngressState

__all__ = ["apply", "observe", "observe_gaps", "ratio"]

_FIRST_ERROR_STATUS = 300
# Kind of the observations of gaps between events.
_DECODE = "decode"


def observe(ex: exchange.Exchange, status: int, now: float) -> None:
    """Records the time to a stream's first event or to a plain answer.

    Args:
        ex: The request.
        status: HTTP status of the answer.
        now: Monotonic time.
    """
    is_resumed = bool(ex.last_event)
    if not ex.plan.shows_speed or is_resumed or status >= _FIRST_ERROR_STATUS:
        return
    predicted_s = 0.0
    kind = ex.route.name
    if exchange.engine(ex) is not None:
        waited_s = ex.placed_at - ex.arrived
        predicted_s = (ex.plan.first_token_s - waited_s) / ex.plan.speed
        kind = metrics.prompt_length(ex.head.prompt_tokens)
    value = target_speed.log_ratio(now - ex.attempt_at, predicted_s)
    _record(ex, kind, value, now)


def observe_gaps(
    ex: exchange.Exchange,
    engine: routing.EngineSpec,
    gaps: decode_rate.RecentGaps,
    now: float,
) -> None:
    """Records the first gaps between events of a stream."""
    gaps_s = decode_rate.first_gaps_s(gaps)
    if gaps_s is None:
        return
    usual_s = decode_rate.usual_gaps_s(engine, ex.head.prompt_tokens)
    _record(ex, _DECODE, target_speed.log_ratio(gaps_s, usual_s), now)


def _record(ex: exchange.Exchange, kind: str, value: float, now: float) -> None:
    target = registry.find(ex.state.targets, ex.plan.lead)
    if target is None:
        return
    observation = target_speed.Observation(
        registry.incarnation(target), f"{ex.service}/{kind}", value
    )
    target_speed.record(ex.state.speeds, observation, now)
    _log_changes(ex.state, now)


def ratio(
    state: IngressState, target: routing.TargetEntry, now: float
) -> float:
    """Returns the factor of a registered target's times."""
    if not target_speed.has_outliers(state.speeds, now):
        return 1.0
    incarnation = registry.incarnation(target)
    return target_speed.ratio(state.speeds, incarnation, now)


def apply(
    state: IngressState, observed: list[wire_knowledge.WireSpeed], now: float
) -> None:
    """Records what a peer observed, for targets that are registered."""
    for wire in observed:
        name = wire.target.rpartition("@")[0] or wire.target
        target = registry.find(state.targets, name)
        if target is None or registry.incarnation(target) != wire.target:
            continue
        observation = target_speed.Observation(
            wire.target, wire.kind, wire.value
        )
        target_speed.record(state.speeds, observation, now, is_own=False)


def _log_changes(state: IngressState, now: float) -> None:
    """Logs each target that begins or ceases to differ from the others."""
    current = target_speed.outliers(state.speeds, now)
    before = state.speeds_logged
    for target in sorted(current.keys() ^ before.keys()):
        logs.event(
            "target_speed", target=target, ratio=current.get(target, 1.0)
        )
    state.speeds_logged = current
    state.metrics.uneven_targets.set(len(current))
