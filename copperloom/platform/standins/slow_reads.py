"""Makes a process slow: each request that it reads costs processor time."""

import time

from aiohttp import web_protocol

__all__ = ["install"]

_METHODS = (b"GET ", b"POST ")


def install(cost_s: float) -> None:
    """Delays the event loop for each request that is read.

    Args:
        cost_s: Delay in seconds.
    """
    receive = web_protocol.RequestHandler.data_received

    def data_received(self, data: bytes) -> None:
        if data.startswith(_METHODS):
            time.sleep(cost_s)
        receive(self, data)

    web_protocol.RequestHandler.data_received = data_received
