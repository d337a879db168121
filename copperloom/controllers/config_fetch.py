"""Gets a newer configuration that a peer told of.

The platform is asked first. A peer is asked if the platform does not answer
at once, since an entry that waited for it would go on under a version that
the operators were told is replaced.
"""

import asyncio

import msgspec

from copperloom import configuration, exception
from copperloom.controllers import config, snapshot
from copperloom.decisions import config_staleness
from copperloom.logs import event
from copperloom.peers import client, peers_pb2

__all__ = ["reply_to", "run", "is_behind"]

# Longer than a healthy read of head and changes takes, short against the 3 s
# in which a retired target has to be known.
_PLATFORM_FIRST_S = 0.3
_FETCH_S = 2.0


def is_behind(state) -> bool:
    """Returns whether any member told of a newer version than the one held."""
    told = max((m.version for m in state.members.values()), default=0)
    return told > state.cfg.version


async def run(state) -> None:
    """Adopts the newest version told of, from the platform or from a peer."""
    loop = asyncio.get_running_loop()
    poll = asyncio.ensure_future(config.step(state, loop.time()))
    try:
        await asyncio.wait([poll], timeout=_PLATFORM_FIRST_S)
        if is_behind(state):
            await _from_peer(state, loop.time())
        await poll
    except exception.CopperloomError as error:
        event("fetch_failed", code=error.code, error=str(error))
    finally:
        poll.cancel()


async def _from_peer(state, now: float) -> None:
    """Asks the member with the greatest version.

    An entry that has just started takes no configuration from peers before
    more than half of the members answered: a few that are cut off would hand
    it a version that was replaced.
    """
    heard_since = now - state.settings.membership.suspect_s
    facts = config.evidence(state, now)
    whole = config_staleness.has_majority(facts.contacts, facts.members)
    if not state.cfg_loaded and not whole:
        return
    members = [m for m in state.members.values() if not m.failures]
    if not state.cfg_loaded:
        members = [m for m in members if m.heard_at >= heard_since]
    best = max(members, key=lambda m: m.version, default=None)
    if best is None or best.version <= state.cfg.version:
        return
    reply = await client.call(
        state.membership.channels,
        best.address,
        "Fetch",
        peers_pb2.FetchRequest(after_version=state.cfg.version),
        timeout_s=_FETCH_S,
    )
    cfg = state.cfg
    if reply.snapshot:
        cfg = snapshot.decode(reply.snapshot)
    found = [
        msgspec.json.decode(raw, type=configuration.Change)
        for raw in reply.changes
    ]
    cfg = config.apply_all(state, cfg, found)
    if config.adopt(state, cfg, now):
        event("fetched_from_peer", member=best.instance, version=cfg.version)


def reply_to(state, asked: peers_pb2.FetchRequest) -> peers_pb2.FetchReply:
    """Answers a member that lags: the changes it lacks, or the whole."""
    reply = peers_pb2.FetchReply(version=state.cfg.version)
    if state.cfg.version <= asked.after_version:
        return reply
    changes = [
        change
        for change in state.recent_changes
        if asked.after_version < change.version <= state.cfg.version
    ]
    if len(changes) == state.cfg.version - asked.after_version:
        reply.changes.extend(msgspec.json.encode(c) for c in changes)
    else:
        reply.snapshot = snapshot.encode(state.cfg)
    return reply
