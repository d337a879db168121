"""Fetches a newer configuration that a peer has reported.

The platform is read first. If it doesn't reply quickly, the changes are
fetched from a peer, since an entry that waited for the platform would keep
using a version that operators already see as replaced.
"""

import asyncio

import msgspec

from copperloom import configuration, exception
from copperloom.controllers import config, snapshot
from copperloom.decisions import config_staleness
from copperloom.logs import event
from copperloom.peers import client, peers_pb2

__all__ = ["is_behind", "reply_to", "run"]

# Longer than a healthy platform takes to return the head and the changes, and
# short compared with the time in which all entries must know a retired target.
_PLATFORM_WAIT_S = 0.3
_FETCH_TIMEOUT_S = 2.0


def is_behind(state) -> bool:
    """Returns whether a member reported a newer version than the one held."""
    newest = max((m.version for m in state.members.values()), default=0)
    return newest > state.cfg.version


async def run(state) -> None:
    """Adopts the newest reported version, from the platform or a peer."""
    loop = asyncio.get_running_loop()
    poll = asyncio.ensure_future(config.step(state, loop.time()))
    try:
        await asyncio.wait([poll], timeout=_PLATFORM_WAIT_S)
        if is_behind(state):
            await _fetch_from_peer(state, loop.time())
        await poll
    except exception.CopperloomError as error:
        event("fetch_failed", code=error.code, error=str(error))
    finally:
        poll.cancel()


async def _fetch_from_peer(state, now: float) -> None:
    """Fetches the changes from the member with the greatest version.

    An entry without a configuration fetches none before a majority of the
    members has replied, since a partitioned minority could return a version
    that was replaced.
    """
    contact_since = now - state.settings.membership.suspect_s
    evidence = config.evidence(state, now)
    is_majority = config_staleness.has_majority(
        evidence.contacts, evidence.members
    )
    if not state.cfg_loaded and not is_majority:
        return
    members = [m for m in state.members.values() if not m.failures]
    if not state.cfg_loaded:
        members = [m for m in members if m.last_reply_at >= contact_since]
    newest = max(members, key=lambda m: m.version, default=None)
    if newest is None or newest.version <= state.cfg.version:
        return
    reply = await client.call(
        state.membership.channels,
        newest.address,
        "Fetch",
        peers_pb2.FetchRequest(after_version=state.cfg.version),
        timeout_s=_FETCH_TIMEOUT_S,
    )
    cfg = state.cfg
    if reply.snapshot:
        cfg = snapshot.decode(reply.snapshot)
    fetched = [
        msgspec.json.decode(raw, type=configuration.Change)
        for raw in reply.changes
    ]
    cfg = config.apply_all(state, cfg, fetched)
    if config.adopt(state, cfg, now):
        event("fetched_from_peer", member=newest.instance, version=cfg.version)


def reply_to(state, request: peers_pb2.FetchRequest) -> peers_pb2.FetchReply:
    """Returns the reply to a lagging member.

    It holds the changes that the member lacks or, if some of them are no
    longer kept here, the whole configuration.
    """
    reply = peers_pb2.FetchReply(version=state.cfg.version)
    if state.cfg.version <= request.after_version:
        return reply
    changes = [
        change
        for change in state.recent_changes
        if request.after_version < change.version <= state.cfg.version
    ]
    if len(changes) == state.cfg.version - request.after_version:
        reply.changes.extend(msgspec.json.encode(c) for c in changes)
    else:
        reply.snapshot = snapshot.encode(state.cfg)
    return reply
