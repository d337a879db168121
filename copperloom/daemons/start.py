"""Starts copperloom-front: listens for callers first, then loads the program.

Loading the program takes much longer than binding a socket. When many
instances restart at once, callers reconnect before it is loaded and would use
up their retries on refused connections. Therefore the socket listens before
any large import, and connections wait in its backlog until the program accepts
them.
"""

import gc
import mimetypes
import os
import signal
import socket

from copperloom import exception
from copperloom.daemons import held
from copperloom.platform import settings
from copperloom.utils import heap

__all__ = ["listen", "main"]

# Large enough for all callers to reconnect while the program is loaded.
BACKLOG = 1024


def listen(path: str) -> socket.socket | None:
    """Listens for callers at the address in the platform's settings.

    Args:
        path: Path of the settings file.

    Returns:
        The listening socket, or None if the file is unreadable or malformed.
        The program reports that error itself once it is loaded.
    """
    try:
        address = settings.load(path).callers_listen
    except exception.SettingsError:
        return None
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=BACKLOG)


def _load():
    """Imports the program and skips work that it doesn't need.

    Imported objects live until exit, so they are excluded from garbage
    collection. On import the HTTP library loads the system's MIME types and
    certificate authorities, but the program neither serves files nor uses TLS.
    """
    gc.disable()
    mimetypes.init(files=())
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    from copperloom.daemons import front

    gc.freeze()
    gc.enable()
    return front


def main(argv: list[str] | None = None) -> None:
    """Runs the program with the arguments of `copperloom.daemons.front`.

    Signals are blocked while the program is loaded, because their default
    action would end the process and reset the connections in the backlog.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, held.SIGNALS)
    listener = listen(os.environ.get(settings.ENVIRONMENT, ""))
    heap.return_large_blocks()
    _load().main(argv, callers=listener)


if __name__ == "__main__":
    main()
