"""Operators' calls to an entry, under /admin/v1/."""

import asyncio
import dataclasses
import hashlib
import hmac
import secrets
import time

import msgspec
from aiohttp import web

from copperloom import exception
from copperloom.controllers import (
    changes,
    config,
    digest_exchange,
    member,
    snapshot,
)
from copperloom.decisions import config_staleness
from copperloom.logs import event

__all__ = ["InForce", "require_majority", "routes", "wait_in_force"]

_CHANGE_TIMEOUT_S = 10.0
_SPREAD_S = 12.0
_SPREAD_POLL_S = 0.1
_AUDIT_ROWS = 100
_AUDIT_MOST = 1000


class ChangeAsked(msgspec.Struct, forbid_unknown_fields=True):
    """The body of POST /admin/v1/changes.

    Attributes:
        operator: Who asks.
        puts: Entities to add or replace, by key.
        deletes: Keys to remove.
        note: Their reason.
        seen_version: The version that the change builds on; None for the one
            that the entry has.
        nonce: Random text that names the change, so that it can be sent again.
        wait_s: Longest wait until it is in force at all members.
    """

    operator: str
    puts: list[tuple[str, dict]] = []
    deletes: list[str] = []
    note: str = ""
    seen_version: int | None = None
    nonce: str = ""
    wait_s: float = _SPREAD_S


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Who has a version in force.

    Attributes:
        version: The version.
        in_force: Members that have it.
        members: Members known, this entry included.
        majority: Whether those that have it are more than half, so that no
            entry goes on without it for longer than confirm_s.
        behind: Members that were not heard to have it.
        waited_s: How long it was waited for.
    """

    version: int
    in_force: int
    members: int
    majority: bool
    behind: tuple[str, ...]
    waited_s: float


def routes(state) -> list[web.RouteDef]:
    """Returns the operators' routes of an entry."""

    def bind(function):
        async def handler(request: web.Request) -> web.Response:
            try:
                _authorise(state, request)
                return await function(state, request)
            except exception.CopperloomError as error:
                return _error(error)

        return handler

    return [
        web.get("/admin/v1/config", bind(_config)),
        web.post("/admin/v1/changes", bind(_change)),
        web.get("/admin/v1/status", bind(_status)),
        web.get("/admin/v1/audit", bind(_audit)),
        web.post("/admin/v1/drain", bind(_drain)),
    ]


def _authorise(state, request: web.Request) -> None:
    wanted = state.settings.entry.operator_token_sha256
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    same = hmac.compare_digest(digest.encode(), wanted.encode())
    if not wanted or scheme.lower() != "bearer" or not same:
        raise exception.NotAuthorisedError("not an operator's token")


def _json(value, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def _error(error: exception.CopperloomError) -> web.Response:
    body = {
        "error": str(error),
        "code": error.code,
        "run": error.run,
        "retry_after_s": error.retry_after_s,
    }
    return _json(body, error.status)


async def _config(state, request: web.Request) -> web.Response:
    whole = msgspec.json.decode(snapshot.encode(state.cfg))
    return _json({**whole, "preset": state.cfg.preset.name})


async def _change(state, request: web.Request) -> web.Response:
    try:
        asked = msgspec.json.decode(await request.read(), type=ChangeAsked)
    except msgspec.MsgspecError as error:
        raise exception.MalformedRequestError(str(error)) from error
    seen = asked.seen_version
    if seen is not None and seen > state.cfg.version:
        await config.step(state, time.monotonic())
    await require_majority(state)
    version = await changes.make_change(
        state.platform,
        state.cfg,
        tuple(asked.puts),
        tuple(asked.deletes),
        operator=asked.operator,
        note=asked.note,
        seen_version=state.cfg.version if seen is None else seen,
        nonce=asked.nonce or secrets.token_hex(16),
        wall_time_s=time.time(),
        timeout_s=_CHANGE_TIMEOUT_S,
    )
    return _json(await wait_in_force(state, version, asked.wait_s))


async def require_majority(state) -> None:
    """Refuses a change that could not be told to more than half.

    Members out of contact could otherwise go on without it for as long as
    they don't reach the platform, and callers would see it revert.
    """
    if _in_majority(state):
        return
    await digest_exchange.ask_all(state, list(state.members))
    if _in_majority(state):
        return
    facts = config.evidence(state, time.monotonic())
    if not config_staleness.has_fleet_view(facts):
        raise exception.StaleConfigurationError("it does not know others yet")
    raise exception.StaleConfigurationError(
        f"in contact with {facts.contacts} of {facts.members} members: "
        "use an entry in contact with more than half"
    )


def _in_majority(state) -> bool:
    return config_staleness.in_majority(
        config.evidence(state, time.monotonic())
    )


async def wait_in_force(state, version: int, wait_s: float) -> InForce:
    """Tells all members of a version and waits until they have it."""
    begun = time.monotonic()
    while True:
        now = time.monotonic()
        if state.cfg.version < version:
            try:
                await config.step(state, now)
            except exception.CopperloomError as error:
                event("poll_failed", code=error.code)
        behind = _behind(state, version)
        if _all_silent(state, behind, now) or now - begun >= wait_s:
            break
        await digest_exchange.ask_all(state, behind)
        if _behind(state, version):
            await asyncio.sleep(_SPREAD_POLL_S)
    if state.cfg.version < version:
        behind.append(state.settings.entry.instance)
    count = len(state.members) + 1
    return InForce(
        version=version,
        in_force=count - len(behind),
        members=count,
        majority=config_staleness.has_majority(count - len(behind), count),
        behind=tuple(sorted(behind)),
        waited_s=round(now - begun, 3),
    )


def _all_silent(state, names: list[str], now: float) -> bool:
    return all(member.is_silent(state, state.members[n], now) for n in names)


def _behind(state, version: int) -> list[str]:
    return [n for n, m in state.members.items() if m.version < version]


async def _status(state, request: web.Request) -> web.Response:
    now = time.monotonic()
    facts = config.evidence(state, now)
    known = [
        {
            "instance": m.instance,
            "data_centre": m.data_centre,
            "address": m.address,
            "version": m.version,
            "leaving": m.leaving,
            "heard_age_s": _age(now, m.heard_at),
        }
        for m in state.members.values()
    ]
    return _json(
        {
            "instance": state.settings.entry.instance,
            "version": state.cfg.version,
            "preset": state.cfg.preset.name,
            "confirmed_age_s": _age(now, state.confirmed_at),
            "contacts": facts.contacts,
            "known_members": facts.members,
            "knows_the_fleet": config_staleness.has_fleet_view(facts),
            "draining": state.draining,
            "active": state.active,
            "leaving_targets": sorted(state.sched.leaving),
            "members": sorted(known, key=lambda m: m["instance"]),
        }
    )


def _age(now: float, then: float) -> float | None:
    return None if then == float("-inf") else round(now - then, 3)


async def _audit(state, request: web.Request) -> web.Response:
    limit = request.query.get("limit", str(_AUDIT_ROWS))
    if not limit.isdigit() or not 0 < int(limit) <= _AUDIT_MOST:
        raise exception.MalformedRequestError(f"limit: 1 to {_AUDIT_MOST}")
    first = max(0, state.cfg.version - int(limit))
    rows = await state.platform.scan(
        changes.AUDIT_PREFIX,
        after=f"{changes.AUDIT_PREFIX}{first:012d}",
        limit=int(limit),
        timeout_s=state.settings.platform.timeout_s,
    )
    return _json({"audit": [row.value for row in rows]})


async def _drain(state, request: web.Request) -> web.Response:
    state.draining = True
    state.wake.set()
    event("drain_asked")
    return _json({"instance": state.settings.entry.instance, "draining": True})
