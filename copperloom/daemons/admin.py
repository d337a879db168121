"""The HTTP API of an entry for operators, under /admin/v1/."""

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
from copperloom.utils import malformed

__all__ = ["InForce", "require_majority", "routes", "wait_in_force"]

_CHANGE_TIMEOUT_S = 10.0
_DEFAULT_WAIT_S = 12.0
_IN_FORCE_POLL_S = 0.1
_DEFAULT_AUDIT_ROWS = 100
_MAX_AUDIT_ROWS = 1000


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The body of POST /admin/v1/changes.

    Attributes:
        operator: Name of the operator.
        puts: (key, value) of entities to add or replace.
        deletes: Keys of entities to delete.
        note: Reason for the change.
        seen_version: Version that the change is based on; None for the
            version of this entry.
        nonce: Random id of the change, which makes it safe to send again.
        wait_s: Maximum time to wait until the change is in force at all
            members, in seconds.
    """

    operator: str
    puts: list[tuple[str, dict]] = []
    deletes: list[str] = []
    note: str = ""
    seen_version: int | None = None
    nonce: str = ""
    wait_s: float = _DEFAULT_WAIT_S


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """How far a version has spread among the members.

    Attributes:
        version: Version of the configuration.
        in_force: Number of members that have adopted the version.
        members: Number of known members, including this entry.
        majority: Whether more than half of the members have adopted the
            version, so that no entry admits requests without it for longer
            than confirm_s.
        behind: Members that have not confirmed the version.
        waited_s: Time spent waiting, in seconds.
    """

    version: int
    in_force: int
    members: int
    majority: bool
    behind: tuple[str, ...]
    waited_s: float


def routes(state) -> list[web.RouteDef]:
    """Returns the HTTP routes for operators."""

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
    expected_digest = state.settings.entry.operator_token_sha256
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    matches = hmac.compare_digest(digest.encode(), expected_digest.encode())
    if not expected_digest or scheme.lower() != "bearer" or not matches:
        raise exception.NotAuthorisedError("invalid operator token")


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
    document = msgspec.json.decode(snapshot.encode(state.cfg))
    return _json({**document, "preset": state.cfg.preset.name})


async def _change(state, request: web.Request) -> web.Response:
    try:
        change = msgspec.json.decode(await request.read(), type=ChangeRequest)
    except malformed.ERRORS as error:
        raise exception.MalformedRequestError(str(error)) from error
    base_version = change.seen_version
    if base_version is not None and base_version > state.cfg.version:
        await config.step(state, time.monotonic())
    await require_majority(state)
    version = await changes.make_change(
        state.platform,
        state.cfg,
        tuple(change.puts),
        tuple(change.deletes),
        operator=change.operator,
        note=change.note,
        seen_version=state.cfg.version
        if base_version is None
        else base_version,
        nonce=change.nonce or secrets.token_hex(16),
        wall_time_s=time.time(),
        timeout_s=_CHANGE_TIMEOUT_S,
    )
    return _json(await wait_in_force(state, version, change.wait_s))


async def require_majority(state) -> None:
    """Raises unless this entry is in contact with more than half the members.

    Otherwise members out of contact could keep the old configuration for as
    long as they can't reach the platform, and callers would see the change
    revert.

    Raises:
        copperloom.exception.StaleConfigurationError: Too few members are in
            contact.
    """
    if _in_majority(state):
        return
    await digest_exchange.exchange_all(state, list(state.members))
    if _in_majority(state):
        return
    evidence = config.evidence(state, time.monotonic())
    if not config_staleness.has_fleet_view(evidence):
        raise exception.StaleConfigurationError("no other member is known yet")
    raise exception.StaleConfigurationError(
        f"in contact with {evidence.contacts} of {evidence.members} members: "
        "use an entry that is in contact with more than half"
    )


def _in_majority(state) -> bool:
    return config_staleness.in_majority(
        config.evidence(state, time.monotonic())
    )


async def wait_in_force(state, version: int, wait_s: float) -> InForce:
    """Announces a version to all members and waits until it is in force.

    Args:
        state: State of the entry.
        version: Version of the configuration.
        wait_s: Maximum time to wait, in seconds.
    """
    started_at = time.monotonic()
    while True:
        now = time.monotonic()
        if state.cfg.version < version:
            try:
                await config.step(state, now)
            except exception.CopperloomError as error:
                event("poll_failed", code=error.code)
        behind = _behind(state, version)
        if _all_silent(state, behind, now) or now - started_at >= wait_s:
            break
        await digest_exchange.exchange_all(state, behind)
        if _behind(state, version):
            await asyncio.sleep(_IN_FORCE_POLL_S)
    if state.cfg.version < version:
        behind.append(state.settings.entry.instance)
    count = len(state.members) + 1
    return InForce(
        version=version,
        in_force=count - len(behind),
        members=count,
        majority=config_staleness.has_majority(count - len(behind), count),
        behind=tuple(sorted(behind)),
        waited_s=round(now - started_at, 3),
    )


def _all_silent(state, names: list[str], now: float) -> bool:
    return all(member.is_silent(state, state.members[n], now) for n in names)


def _behind(state, version: int) -> list[str]:
    return [n for n, m in state.members.items() if m.version < version]


async def _status(state, request: web.Request) -> web.Response:
    now = time.monotonic()
    evidence = config.evidence(state, now)
    members = [
        {
            "instance": m.instance,
            "data_centre": m.data_centre,
            "address": m.address,
            "version": m.version,
            "leaving": m.leaving,
            "heard_age_s": _age(now, m.last_reply_at),
        }
        for m in state.members.values()
    ]
    return _json(
        {
            "instance": state.settings.entry.instance,
            "version": state.cfg.version,
            "preset": state.cfg.preset.name,
            "confirmed_age_s": _age(now, state.confirmed_at),
            "contacts": evidence.contacts,
            "known_members": evidence.members,
            "knows_the_fleet": config_staleness.has_fleet_view(evidence),
            "draining": state.draining,
            "active": state.active,
            "leaving_targets": sorted(state.sched.draining),
            "members": sorted(members, key=lambda m: m["instance"]),
        }
    )


def _age(now: float, then: float) -> float | None:
    return None if then == float("-inf") else round(now - then, 3)


async def _audit(state, request: web.Request) -> web.Response:
    limit = request.query.get("limit", str(_DEFAULT_AUDIT_ROWS))
    if not limit.isdigit() or not 0 < int(limit) <= _MAX_AUDIT_ROWS:
        raise exception.MalformedRequestError(
            f"limit must be between 1 and {_MAX_AUDIT_ROWS}"
        )
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
