"""Tests how long connections outlast silence."""

import socket
import unittest

from copperloom.utils import sockets

# A sound target may fall silent for a second or so.
_SILENCE_S = 2.0
# A connection that never speaks again is noticed within this time.
_NOTICED_S = 5.0


def _option(name: int) -> int:
    info = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))
    with sockets.monitored_socket(info) as sock:
        return sock.getsockopt(socket.IPPROTO_TCP, name)


class SilenceTest(unittest.TestCase):
    def test_silent_connection_lives_on(self):
        """Guards against a timeout that also bounds keep-alive probes.

        Silence may begin just before the first probe, and its end is noticed
        by the next one.
        """
        idle_s = _option(socket.TCP_KEEPIDLE)
        limit_s = _option(socket.TCP_USER_TIMEOUT) / 1000
        probes_s = idle_s + _option(socket.TCP_KEEPINTVL) * (
            _option(socket.TCP_KEEPCNT)
        )
        self.assertGreater(limit_s, idle_s + _SILENCE_S)
        self.assertGreater(probes_s, idle_s + _SILENCE_S)

    def test_dead_connection_is_noticed(self):
        """Guards against callers that wait for a target that is gone."""
        interval_s = _option(socket.TCP_KEEPINTVL)
        limit_s = _option(socket.TCP_USER_TIMEOUT) / 1000
        self.assertLessEqual(limit_s + interval_s, _NOTICED_S)
