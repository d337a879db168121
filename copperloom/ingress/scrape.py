"""Renders the metrics page: event counters and the current state."""

import prometheus_client
from prometheus_client import core, registry

from copperloom import logs
from copperloom.decisions import budget, members, quarantine, request_digest
from copperloom.ingress import views
from copperloom.ingress.state import IngressState, live_members

__all__ = ["page"]


def page(state: IngressState, now: float) -> bytes:
    """Renders all metrics in the Prometheus text format.

    Args:
        state: The instance's state.
        now: Monotonic time in seconds.
    """
    current = prometheus_client.CollectorRegistry()
    current.register(_StateCollector(state, now))
    counted = prometheus_client.generate_latest(state.metrics.registry)
    return counted + prometheus_client.generate_latest(current)


class _StateCollector(registry.Collector):
    """Collects metrics of the state at one moment."""

    def __init__(self, state: IngressState, now: float):
        self.state = state
        self.now = now

    def _quarantined(self, *, is_part: bool) -> int:
        found = quarantine.all_found(self.state.crashes)
        return sum(request_digest.is_part(d) is is_part for d in found)

    def collect(self):
        """Yields the metrics."""
        yield from _versions(self.state, self.now)
        yield from _members(self.state, self.now)
        yield from _budget(self.state, self.now)
        yield _calls(self.state)
        yield core.GaugeMetricFamily(
            "copperloom_limited_targets",
            "Targets that name a rate limit.",
            value=sum(
                limit.per_s is not None
                for limit in self.state.limits.limits.values()
            ),
        )
        yield core.GaugeMetricFamily(
            "copperloom_held_targets",
            "Targets that get no requests of this instance for a time.",
            value=sum(
                until > self.now for until in self.state.backoff.until.values()
            ),
        )
        yield core.GaugeMetricFamily(
            "copperloom_unreached_targets",
            "Targets whose connections failed since the latest answer of any.",
            value=len(self.state.reachability.failures),
        )
        yield core.GaugeMetricFamily(
            "copperloom_reaches_targets",
            "Whether this instance reaches targets (1) or none of them (0).",
            value=int(not self.state.reachability.is_lost),
        )
        yield core.GaugeMetricFamily(
            "copperloom_quarantined_requests",
            "Requests that are refused since they crashed several targets.",
            value=self._quarantined(is_part=False),
        )
        yield core.GaugeMetricFamily(
            "copperloom_quarantined_parts",
            "Parts of prompts that are suspected of several crashes.",
            value=self._quarantined(is_part=True),
        )
        yield core.CounterMetricFamily(
            "copperloom_log_lines_dropped",
            "Log lines dropped because of their number or a slow reader.",
            value=logs.dropped(),
        )


def _versions(state: IngressState, now: float):
    status = views.status(state, now)
    version = core.GaugeMetricFamily(
        "copperloom_version",
        "Version of the routes or targets in force at this instance.",
        labels=["of"],
    )
    age = core.GaugeMetricFamily(
        "copperloom_version_age_seconds",
        "Time since that version was applied.",
        labels=["of"],
    )
    era = core.GaugeMetricFamily(
        "copperloom_version_era",
        "Era of the platform's table service to which the version belongs.",
        labels=["of"],
    )
    era.add_metric(["targets"], status["targets"]["era"])
    for name in ("routes", "targets"):
        version.add_metric([name], status[name]["version"])
        if status[name]["age_s"] is not None:
            age.add_metric([name], status[name]["age_s"])
    targets = core.GaugeMetricFamily(
        "copperloom_targets",
        "Registered targets by service and state.",
        labels=["service", "state"],
    )
    for service, counts in status["targets"]["by_service"].items():
        for condition, count in counts.items():
            targets.add_metric([service, condition], count)
    return version, era, age, targets


def _members(state: IngressState, now: float):
    live = live_members(state, now)
    member_counts = core.GaugeMetricFamily(
        "copperloom_members",
        "Other known instances by state.",
        labels=["state"],
    )
    member_counts.add_metric(["live"], len(live))
    member_counts.add_metric(["silent"], len(state.members) - len(live))
    oldest = core.GaugeMetricFamily(
        "copperloom_member_age_seconds",
        "Longest time since the last message of a live member.",
        value=max((now - m.last_received_at for m in live), default=0.0),
    )
    return member_counts, oldest


def _budget(state: IngressState, now: float):
    sharing = members.count_sharing(state.members, now)
    left = core.GaugeMetricFamily(
        "copperloom_repeats_left",
        "Retries that this instance may still send in the window.",
        labels=["service"],
    )
    for service in state.budget.requests:
        value = budget.left(state.budget, service, now, sharing)
        left.add_metric([service], value)
    releases = core.GaugeMetricFamily(
        "copperloom_background_tasks",
        "Releases of reserved memory in progress.",
        value=len(state.background),
    )
    return left, releases


def _calls(state: IngressState):
    calls = core.CounterMetricFamily(
        "copperloom_store_calls",
        "Calls to the platform's table service, by call and result.",
        labels=["call", "result"],
    )
    for (name, result), count in state.store.calls.items():
        calls.add_metric([name, result], count)
    return calls
