"""The signals that are blocked until the program can handle them."""

import signal

__all__ = ["SIGNALS"]

SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
