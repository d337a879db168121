"""Commits changes of the configuration and determines their outcome.

Only changes write the head row, so its row version is the version of the
configuration. The condition on it makes a transaction idempotent: of two
copies of one change at most one takes effect.
"""

import asyncio
import time

import msgspec

from copperloom import configuration, exception
from copperloom.controllers import snapshot, validation
from copperloom.logs import event
from copperloom.platform import interface

__all__ = ["AUDIT_PREFIX", "CHANGE_PREFIX", "HEAD", "change_key", "make_change"]

HEAD = "config/head"
CHANGE_PREFIX = "config/change/"
AUDIT_PREFIX = "audit/"
_CALL_TIMEOUT_S = 2.0
_RETRY_S = 0.1
_MAX_RETRY_S = 1.0


def change_key(version: int) -> str:
    """Returns the key of a version's change row."""
    return f"{CHANGE_PREFIX}{version:012d}"


async def make_change(
    platform: interface.Platform,
    cfg: configuration.Configuration,
    puts: tuple[tuple[str, dict], ...],
    deletes: tuple[str, ...],
    *,
    operator: str,
    note: str,
    seen_version: int,
    nonce: str,
    wall_time_s: float,
    timeout_s: float,
) -> int:
    """Commits a change on condition that the version seen is the newest.

    Args:
        platform: The platform.
        cfg: The newest configuration of this entry; the change is validated
            against it.
        puts: Entities to add or replace, by key.
        deletes: Keys to remove.
        operator: Name of the operator who requests the change.
        note: The operator's reason, for the audit row.
        seen_version: Version of the configuration that the change builds on.
        nonce: Random text that identifies this change. A request with the same
            nonce and version may be repeated, through any entry, and takes
            effect once.
        wall_time_s: Seconds since the epoch, for display only.
        timeout_s: Longest wait for a certain outcome, in seconds.

    Returns:
        The version that the change created.

    Raises:
        copperloom.exception.MalformedRequestError: The change is invalid.
        copperloom.exception.StaleConfigurationError: The version seen is
            newer than `cfg`.
        copperloom.exception.ChangeLostError: Another change was committed
            first, and this one took no effect.
        copperloom.exception.ChangeUnknownError: The change may or may not have
            taken effect.
        copperloom.exception.PlatformDownError: Nothing took effect.
        copperloom.exception.RateLimitedError: Nothing took effect.
    """
    if cfg.version < seen_version:
        raise exception.StaleConfigurationError(
            f"this entry has version {cfg.version}, but the change builds on "
            f"version {seen_version}, which it has not received yet"
        )
    if cfg.version == seen_version:
        # A change to an older version needs no validation: it either conflicts
        # or repeats a change that was committed.
        validation.check(cfg, puts, deletes)
    change = configuration.Change(
        version=seen_version + 1,
        nonce=nonce,
        operator=operator,
        puts=_stamp(puts, seen_version + 1),
        deletes=tuple(deletes),
        note=note,
        wall_time_s=wall_time_s,
    )
    deadline = time.monotonic() + timeout_s
    await _commit(platform, change, deadline)
    event("change_made", version=change.version, operator=operator, nonce=nonce)
    await _save_snapshot(platform, cfg, change)
    return change.version


def _stamp(puts, version: int) -> tuple[tuple[str, dict], ...]:
    """Sets `admitted_version` in the admitted targets."""
    return tuple(
        (
            key,
            _stamp_target(value, version)
            if key.startswith("target/")
            else value,
        )
        for key, value in puts
    )


def _stamp_target(value: dict, version: int) -> dict:
    if value.get("state", "admitted") != configuration.TargetState.ADMITTED:
        return value
    return {**value, "admitted_version": version}


async def _commit(platform, change, deadline) -> None:
    """Repeats the transaction until its outcome is certain.

    A transaction whose confirmation was lost took effect, did not, or still
    may, since a delayed write can land after a read. A second copy resolves all
    three cases, because both have the same condition: if the copy commits, the
    first one never will; if it conflicts, the nonce of the change row shows
    whose change was committed.
    """
    outcome_unknown = False
    wait_s = _RETRY_S
    while True:
        try:
            result = await platform.transact(
                *_transaction(change), timeout_s=_call_timeout_s(deadline)
            )
            break
        except exception.PlatformUnknownError:
            outcome_unknown = True
        except (exception.PlatformDownError, exception.RateLimitedError):
            if not outcome_unknown:
                raise
        if time.monotonic() + wait_s >= deadline:
            raise exception.ChangeUnknownError(
                f"change {change.nonce} of version {change.version} may or may "
                "not have taken effect: the platform did not confirm it"
            )
        await asyncio.sleep(wait_s)
        wait_s = min(2 * wait_s, _MAX_RETRY_S)
    if not result.committed:
        await _resolve_conflict(
            platform, change, deadline, outcome_unknown=outcome_unknown
        )


def _call_timeout_s(deadline: float) -> float:
    return max(0.05, min(_CALL_TIMEOUT_S, deadline - time.monotonic()))


def _transaction(change: configuration.Change):
    value = msgspec.to_builtins(change)
    version = change.version
    audit = {
        "version": version,
        "from_version": version - 1,
        "operator": change.operator,
        "note": change.note,
        "wall_time_s": change.wall_time_s,
        "puts": [key for key, _ in change.puts],
        "deletes": list(change.deletes),
        "nonce": change.nonce,
    }
    head = {"version": version, "nonce": change.nonce}
    conditions = [interface.Condition(HEAD, version - 1)]
    writes = [
        interface.Write(HEAD, head),
        interface.Write(change_key(version), value),
        interface.Write(f"{AUDIT_PREFIX}{version:012d}", audit),
    ]
    return conditions, writes


async def _resolve_conflict(
    platform, change, deadline, *, outcome_unknown: bool
) -> None:
    """Raises an error unless the change committed is this one."""
    committed = await _committed_change(
        platform, change.version, deadline, outcome_unknown=outcome_unknown
    )
    if committed is None:
        raise exception.ChangeLostError(
            f"nothing was changed: version {change.version - 1} is not the "
            "newest version"
        )
    if committed.nonce != change.nonce:
        raise exception.ChangeLostError(
            f"nothing was changed: version {committed.version} by "
            f"{committed.operator or 'unknown'} was committed first"
        )


async def _committed_change(
    platform, version, deadline, *, outcome_unknown: bool
) -> configuration.Change | None:
    """Returns the change that created a version, or None if there is none."""
    while True:
        try:
            row = await platform.read(
                change_key(version), timeout_s=_call_timeout_s(deadline)
            )
        except (
            exception.PlatformDownError,
            exception.RateLimitedError,
        ) as error:
            if time.monotonic() + _RETRY_S < deadline:
                await asyncio.sleep(_RETRY_S)
                continue
            raise exception.ChangeUnknownError(
                f"version {version} exists, but the change that created it "
                "could not be read within the time limit"
            ) from error
        if row.version == 0:
            return None
        return msgspec.convert(row.value, configuration.Change)


async def _save_snapshot(platform, cfg, change) -> None:
    """Saves a snapshot if one is due at this version.

    Entries that start far behind load it instead of all change rows.
    """
    if change.version % snapshot.EVERY or cfg.version != change.version - 1:
        return
    try:
        await snapshot.save(platform, configuration.apply(cfg, change))
    except exception.CopperloomError as error:
        # Without a snapshot such entries only read more change rows.
        event("snapshot_failed", version=change.version, code=error.code)
