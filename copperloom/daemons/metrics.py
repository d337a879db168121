"""The metrics of an entry."""

import prometheus_client

from copperloom.platform import http

__all__ = ["EntryMetrics", "length_class"]

_LENGTH_CLASSES = (
    (4_000, "4k"),
    (16_000, "16k"),
    (100_000, "100k"),
    (400_000, "400k"),
)
_FIRST_TOKEN_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.78,
    1.5,
    3,
    6,
    12,
    30,
    60,
    120,
)


def length_class(prompt_tokens: int) -> str:
    """Returns the length class of a prompt, used as a metric label."""
    for max_tokens, name in _LENGTH_CLASSES:
        if prompt_tokens <= max_tokens:
            return name
    return "1m"


class EntryMetrics:
    """Counters, gauges and histograms of an entry.

    They have their own registry, so that several entries can run in one
    process.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.ended_connections = prometheus_client.Counter(
            "copperloom_ended_connections",
            "Connections ended before a request was received, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.requests = prometheus_client.Counter(
            "copperloom_requests",
            "Requests by result code (0 is success).",
            ["code"],
            registry=self.registry,
        )
        self.first_token = prometheus_client.Histogram(
            "copperloom_first_token_seconds",
            "Time to first token by length of prompt.",
            ["length"],
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.tokens = prometheus_client.Counter(
            "copperloom_tokens", "Tokens relayed.", registry=self.registry
        )
        self.retries = prometheus_client.Counter(
            "copperloom_retries",
            "Attempts after the first, by cause.",
            ["cause"],
            registry=self.registry,
        )
        self.resumes = prometheus_client.Counter(
            "copperloom_resumes",
            "Streams resumed after a break.",
            registry=self.registry,
        )
        self.active = prometheus_client.Gauge(
            "copperloom_active_requests",
            "Requests in progress.",
            registry=self.registry,
        )
        self.config_version = prometheus_client.Gauge(
            "copperloom_config_version",
            "Version of the configuration in force here.",
            registry=self.registry,
        )
        self.peer_bytes = prometheus_client.Gauge(
            "copperloom_peer_message_bytes",
            "Bytes of messages between entries, without framing.",
            ["direction"],
            registry=self.registry,
        )
        self.registry.register(http.CALLS)
        self.registry.register(http.FAILURES)
