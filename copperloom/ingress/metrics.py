"""Defines the metrics of an instance that routes by host and path."""

import prometheus_client

from copperloom.decisions import plans

__all__ = ["IngressMetrics", "prompt_length"]

# Dense around the first-token objectives of short (0.3 s), middle (1.5 s) and
# long prompts (3 s).
_FIRST_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.75,
    1,
    1.5,
    2,
    3,
    5,
    10,
    20,
)


def prompt_length(tokens: int) -> str:
    """Returns the label of a prompt's length; "none" for a plain request."""
    if not tokens:
        return "none"
    if tokens <= plans.SHORT_TOKENS:
        return "short"
    return "middle" if tokens <= plans.LONG_TOKENS else "long"


class IngressMetrics:
    """Holds counters and histograms in a separate registry."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "copperloom_requests",
            "Requests by status and result code (0: the target's answer).",
            ["status", "code"],
            registry=self.registry,
        )
        self.first_byte = prometheus_client.Histogram(
            "copperloom_first_byte_seconds",
            "Time to a stream's first event or a plain answer.",
            ["kind", "prompt"],
            buckets=_FIRST_BUCKETS_S,
            registry=self.registry,
        )
        self.longest_gap = prometheus_client.Histogram(
            "copperloom_stream_pause_seconds",
            "Longest gap between two events of a stream.",
            buckets=_FIRST_BUCKETS_S,
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            "copperloom_attempts",
            "Attempts to send requests to targets, by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.hedges = prometheus_client.Counter(
            "copperloom_hedges",
            "Second copies of slow requests, by result.",
            ["result"],
            registry=self.registry,
        )
        self.target_checks = prometheus_client.Counter(
            "copperloom_target_checks",
            "Targets checked after a broken connection, by result.",
            ["result"],
            registry=self.registry,
        )
        self.limit_grants = prometheus_client.Counter(
            "copperloom_limit_grants",
            "Sends to targets that name a rate limit, by result.",
            ["result"],
            registry=self.registry,
        )
        self.cold_changes = prometheus_client.Counter(
            "copperloom_cold_changes",
            "Changes of what is known of cold targets, by their source.",
            ["reason"],
            registry=self.registry,
        )
        self.drain_notices = prometheus_client.Counter(
            "copperloom_drain_notices",
            "Answers that say something about draining, by what it means.",
            ["result"],
            registry=self.registry,
        )
        self.evacuations = prometheus_client.Counter(
            "copperloom_evacuations",
            "Evacuations of data centres that have begun or ended.",
            ["result"],
            registry=self.registry,
        )
        self.backoff_requested = prometheus_client.Counter(
            "copperloom_backoff_requests",
            "Answers with status 503 and a time to wait, by what it means.",
            ["result"],
            registry=self.registry,
        )
        self.uneven_targets = prometheus_client.Gauge(
            "copperloom_uneven_targets",
            "Targets that are faster or slower than others of their service.",
            registry=self.registry,
        )
        self.rejections = prometheus_client.Counter(
            "copperloom_rejections",
            "Rejections by targets that did not run a request, by result.",
            ["result"],
            registry=self.registry,
        )
        self.reachability_checks = prometheus_client.Counter(
            "copperloom_reachability_checks",
            "Checks whether a target answers, after failed connections.",
            ["result"],
            registry=self.registry,
        )
        self.relayed = prometheus_client.Counter(
            "copperloom_relayed_requests",
            "Requests offered to peers (sent) or by peers (received).",
            ["direction", "result"],
            registry=self.registry,
        )
        self.long_answers = prometheus_client.Counter(
            "copperloom_long_answers",
            "Answers of targets that exceeded a bound, by place.",
            ["place"],
            registry=self.registry,
        )
        self.ended_connections = prometheus_client.Counter(
            "copperloom_ended_connections",
            "Connections ended before a request was received, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.shed_connections = prometheus_client.Counter(
            "copperloom_shed_connections",
            "Connections of callers that were closed unread.",
            registry=self.registry,
        )
        self.table_failures = prometheus_client.Counter(
            "copperloom_store_failures",
            "Failed calls to the platform's table service, by table.",
            ["table"],
            registry=self.registry,
        )
        self.store_returns = prometheus_client.Counter(
            "copperloom_store_returns",
            "Returns of the platform's table service from an older copy.",
            registry=self.registry,
        )
        self.owner_queries = prometheus_client.Counter(
            "copperloom_owner_questions",
            "Placement queries to shard owners, by result.",
            ["result"],
            registry=self.registry,
        )
        self.turns = prometheus_client.Counter(
            "copperloom_turns",
            "Requests that had to wait for their turn or were refused for it.",
            ["result"],
            registry=self.registry,
        )
        self.active = prometheus_client.Gauge(
            "copperloom_active_requests",
            "Requests in progress.",
            registry=self.registry,
        )
        self.placement_wait = prometheus_client.Histogram(
            "copperloom_place_wait_seconds",
            "Time that a request waited for a free slot at a target.",
            ["kind"],
            buckets=_FIRST_BUCKETS_S,
            registry=self.registry,
        )
