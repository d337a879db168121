"""Starts copperloom-front with redirected connections to targets.

The environment variable names a JSON file with the addresses (IP:port) that
connections go to, by the address of the target.
"""

import json
import os
import pathlib

from copperloom.daemons import start
from copperloom.platform.standins import links
from copperloom.utils import sockets

__all__ = ["ENVIRONMENT", "main"]

ENVIRONMENT = "COPPERLOOM_REDIRECTS"


def main() -> None:
    """Runs the program with a socket factory that redirects."""
    path = pathlib.Path(os.environ[ENVIRONMENT])
    addresses = json.loads(path.read_text())
    sockets.monitored_socket = links.redirect_sockets(lambda: addresses)
    start.main()


if __name__ == "__main__":
    main()
