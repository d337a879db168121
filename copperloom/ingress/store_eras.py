"""Handles returns of the platform's table service from an older copy.

Any answer of the service, and any digest of a peer, may show the new era first.
From then on nothing of an earlier era is applied: instances that watch the
tables read them anew, and the others get the result from them. Each instance
writes its own rows again.
"""

import asyncio
import functools

from copperloom import logs, versions
from copperloom.decisions import registry
from copperloom.ingress.state import IngressState

__all__ = ["peer_version", "watch_returns"]


def watch_returns(state: IngressState) -> None:
    """Has this instance handle the returns of its table service."""
    state.store.on_return = functools.partial(_handle_return, state)


def _handle_return(state: IngressState, before: int) -> None:
    now = asyncio.get_running_loop().time()
    logs.event(
        "store_returned",
        era=state.store.era,
        before=before,
        targets_version=state.targets.version,
        routes_version=state.table.version,
    )
    state.metrics.store_returns.inc()
    # Rows that are missing in the copy may be written again, as after an
    # outage.
    registry.record_outage(state.targets, now)
    state.digest_due.set()
    state.quarantine_changed.set()


def peer_version(
    state: IngressState, era: int | None, number: int
) -> versions.Version:
    """Returns the version of the targets that a peer names.

    Args:
        state: The instance's state.
        era: The era that it names; None from a peer that knows no eras, whose
            versions are compared as those of the era of this instance.
        number: The number that it names.
    """
    if era is None:
        era = state.targets.version.era
    return versions.Version(era, number)
