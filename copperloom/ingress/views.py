"""Describes an instance's state and its routing to operators.

Serves read-only requests on the internal port: the known members, the versions
and ages of routes and targets, and the route, organisation and targets that a
request would get.
"""

import msgspec

from copperloom import exception, routing
from copperloom.decisions import (
    budget,
    cold_start,
    health,
    limit_schedule,
    members,
    quarantine,
    registry,
)
from copperloom.ingress.state import IngressState

__all__ = ["explain", "status"]


def status(state: IngressState, now: float) -> dict:
    """Returns the state of the instance as plain JSON values.

    Args:
        state: The instance's state.
        now: Monotonic time.
    """
    sharing = members.count_sharing(state.members, now)
    return {
        "instance": state.settings.instance,
        "boot": state.boot,
        "data_centre": state.settings.data_centre,
        "draining": state.draining,
        "active": state.active,
        "routes": {
            "version": state.table.version,
            "age_s": _age(now, state.routes_at),
            "count": len(state.table.routes),
        },
        "targets": {
            "version": state.targets.version.number,
            "era": state.targets.version.era,
            "age_s": _age(now, state.targets_at),
            "by_service": _by_service(state, now),
        },
        "store_era": state.store.era,
        "lost_tables": sorted(state.unreachable_tables),
        "repeats_left": {
            service: budget.left(state.budget, service, now, sharing)
            for service in state.budget.requests
        },
        "limits": {
            target: {
                "per_s": limit.per_s,
                "next_s": round(
                    limit_schedule.earliest_send(state.limits, target, now)
                    - now,
                    3,
                ),
            }
            for target, limit in state.limits.limits.items()
            if limit.per_s is not None
        },
        "cold": {
            target: {
                "left_s": _left(cold.until, now),
                "rate_per_s": cold_start.owner_rate_per_s(
                    state.limits.cold, target
                ),
            }
            for target, cold in state.limits.cold.colds.items()
            if now < cold.until
        },
        "held": {
            target: round(until - now, 3)
            for target, until in state.backoff.until.items()
            if until > now
        },
        "evacuated": {
            name: str(known.report.version)
            for name, known in state.evacuations.known.items()
            if known.report.active
        },
        "quarantined": [
            _quarantine(digest, found, now)
            for digest, found in quarantine.all_found(state.crashes).items()
        ],
        "members": [
            {
                "instance": m.instance,
                "data_centre": m.data_centre,
                "heard_s": _age(now, m.last_received_at),
                "routes_version": m.routes_version,
                "targets_version": str(m.targets_version),
                "leaving": m.draining,
                "store_lost": m.table_unreachable,
            }
            for m in sorted(state.members.values(), key=_name)
        ],
    }


def _quarantine(
    digest: bytes, found: quarantine.Quarantine, now: float
) -> dict:
    return {
        "digest": digest.hex(),
        "crashes": {t: round(now - at, 3) for t, at in found.crashes.items()},
        "trials": len(found.trials),
        "left_s": round(found.until - now, 3),
    }


def _name(member) -> str:
    return member.instance


def _left(until: float, now: float) -> float | None:
    return round(until - now, 3) if until < float("inf") else None


def _age(now: float, at: float) -> float | None:
    return round(now - at, 3) if at > float("-inf") else None


def _by_service(state: IngressState, now: float) -> dict[str, dict[str, int]]:
    by_service: dict[str, dict[str, int]] = {}
    for entry in state.targets.entries.values():
        counts = by_service.setdefault(
            entry.service, {"ready": 0, "draining": 0}
        )
        drains = registry.is_draining(state.targets, entry)
        counts["draining" if drains else "ready"] += 1
    for service, counts in by_service.items():
        usable = registry.usable(state.targets, service, now)
        counts["failing"] = sum(
            health.penalty(state.health.get(e.name), now) > 0 for e in usable
        )
    return by_service


def explain(
    state: IngressState, host: str, path: str, key: str, now: float
) -> dict:
    """Returns the route, organisation and services for a request.

    Args:
        state: The instance's state.
        host: Its Host header.
        path: Its path, without the query.
        key: Its API key, "" for none.
        now: Monotonic time.

    Returns:
        Plain JSON values; `refused` names the error that it would get.
    """
    table = state.table
    explanation = {"routes_version": table.version, "host": host, "path": path}
    if not table.version:
        return explanation | _refused(exception.StaleConfigurationError)
    route = routing.match(table, host, path)
    if route is None:
        return explanation | _refused(exception.UnknownDeploymentError)
    explanation["route"] = msgspec.to_builtins(route)
    if table.keyed and not route.public:
        organisation = table.organisations.get(key)
        if organisation is None:
            return explanation | _refused(exception.UnknownOrganisationError)
        explanation["organisation"] = organisation.name
        if organisation.priority is not None:
            explanation["priority"] = organisation.priority
    explanation["services"] = [
        {
            "service": b.service,
            "weight": b.weight,
            "targets": len(registry.usable(state.targets, b.service, now)),
        }
        for b in route.backends
    ]
    if not any(s["targets"] for s in explanation["services"]):
        return explanation | _refused(exception.NoTargetError)
    return explanation


def _refused(error: type[exception.CopperloomError]) -> dict:
    name = error.__name__.removesuffix("Error")
    return {"refused": name, "code": error.code}
