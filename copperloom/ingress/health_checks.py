"""Asks targets for their health."""

import contextlib

from copperloom import routing
from copperloom.ingress import sender
from copperloom.ingress.state import IngressState
from copperloom.platform import headers

__all__ = ["send"]


def send(
    state: IngressState, target: routing.TargetEntry
) -> contextlib.AbstractAsyncContextManager[sender.Reply]:
    """Sends a health check, as `sender.send` sends a request.

    Args:
        state: The instance's state.
        target: The target.
    """
    spec = state.table.services.get(target.service)
    path = spec.health_path if spec is not None else routing.DEFAULT_CHECK_PATH
    return sender.send(
        state.sender,
        target.address,
        "GET",
        path,
        headers.for_check(target.name),
        b"",
    )
