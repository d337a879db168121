"""Starts copperloom-front with redirected connections, or as a slow process.

Environment variables name a JSON file with the addresses (IP:port) that
connections go to, by the address of the target, and the delay of the event loop
for each request that is read, in milliseconds.
"""

import json
import os
import pathlib

from copperloom.daemons import start
from copperloom.platform.standins import links, slow_reads
from copperloom.utils import sockets

__all__ = ["READ_COST_ENVIRONMENT", "REDIRECTS_ENVIRONMENT", "main"]

REDIRECTS_ENVIRONMENT = "COPPERLOOM_REDIRECTS"
READ_COST_ENVIRONMENT = "COPPERLOOM_READ_COST_MS"
_MS = 1000.0


def main() -> None:
    """Runs the program with the disturbances that the environment names."""
    path = pathlib.Path(os.environ[REDIRECTS_ENVIRONMENT])
    addresses = json.loads(path.read_text())
    sockets.monitored_socket = links.redirect_sockets(lambda: addresses)
    cost_ms = float(os.environ.get(READ_COST_ENVIRONMENT, "0"))
    if cost_ms:
        slow_reads.install(cost_ms / _MS)
    start.main()


if __name__ == "__main__":
    main()
