"""Sockets of outgoing connections that detect unreachable peers."""

import socket

__all__ = ["monitored_socket"]

# Maximum time for which sent data may stay unacknowledged. By default the
# kernel retransmits for minutes while callers wait. It also decides when probes
# give up, so it has to outlast a silence that begins between two probes.
_USER_TIMEOUT_MS = 3500
# Keep-alive probes: idle time in s, interval in s, number of probes.
_KEEPALIVE_PROBES = (1, 1, 3)


def monitored_socket(info) -> socket.socket:
    """Returns a socket that detects an unreachable peer.

    Args:
        info: Family, type, protocol, canonical name and address, as
            `socket.getaddrinfo` returns them.
    """
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    idle, interval, count = _KEEPALIVE_PROBES
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, idle),
        (socket.TCP_KEEPINTVL, interval),
        (socket.TCP_KEEPCNT, count),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock
