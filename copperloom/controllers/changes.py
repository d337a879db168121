"""Makes one change of the configuration, and finds out whether it was made.

The head row is written by changes only, so its row version is the version of
the configuration. The condition on it makes a transaction idempotent: of two
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
_CALL_S = 2.0
_RETRY_S = 0.1
_MOST_RETRY_S = 1.0


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
    """Makes a change, conditional on the version that the operator saw.

    Args:
        platform: The platform.
        cfg: The newest configuration here, to check the change against.
        puts: Entities to add or replace, by key.
        deletes: Keys to remove.
        operator: Who asks.
        note: Their reason.
        seen_version: The version that the change builds on.
        nonce: Random text that names this change; the same text and version
            may be sent again, through any entry, and make one change only.
        wall_time_s: Seconds since the epoch, for people only.
        timeout_s: Longest wait for an outcome that is certain.

    Returns:
        The version that the change made.

    Raises:
        copperloom.exception.MalformedRequestError: It is not valid.
        copperloom.exception.StaleConfigurationError: The version seen is
            newer than `cfg`.
        copperloom.exception.ChangeLostError: Another change came first.
        copperloom.exception.ChangeUnknownError: It may or may not be made.
        copperloom.exception.PlatformDownError: Nothing took effect.
        copperloom.exception.RateLimitedError: Nothing took effect.
    """
    if cfg.version < seen_version:
        raise exception.StaleConfigurationError(
            f"this entry has version {cfg.version}, not {seen_version} yet"
        )
    if cfg.version == seen_version:
        # An older version can only lose, or be this change sent again.
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
    await _snapshot(platform, cfg, change)
    return change.version


def _stamp(puts, version: int) -> tuple[tuple[str, dict], ...]:
    """Writes into admitted targets the version that admits them."""
    return tuple(
        (
            key,
            _stamp_one(value, version) if key.startswith("target/") else value,
        )
        for key, value in puts
    )


def _stamp_one(value: dict, version: int) -> dict:
    if value.get("state", "admitted") != configuration.TargetState.ADMITTED:
        return value
    return {**value, "admitted_version": version}


async def _commit(platform, change, deadline) -> None:
    """Repeats the transaction until its outcome is certain.

    A lost confirmation leaves three cases: it took effect, it did not, or it
    still may, since a write can land after a reader saw nothing. Sending it
    again settles all three, because both copies have the same condition: if
    the copy commits, the first never will; if it conflicts, the change row
    tells by its nonce whose change came first.
    """
    unknown = False
    wait_s = _RETRY_S
    while True:
        try:
            result = await platform.transact(
                *_transaction(change), timeout_s=_left(deadline)
            )
            break
        except exception.PlatformUnknownError:
            unknown = True
        except (exception.PlatformDownError, exception.RateLimitedError):
            if not unknown:
                raise
        if time.monotonic() + wait_s >= deadline:
            raise exception.ChangeUnknownError(
                f"change {change.nonce} of version {change.version} has no "
                "certain outcome"
            )
        await asyncio.sleep(wait_s)
        wait_s = min(2 * wait_s, _MOST_RETRY_S)
    if not result.committed:
        await _judge_conflict(platform, change, deadline, unknown=unknown)


def _left(deadline: float) -> float:
    return max(0.05, min(_CALL_S, deadline - time.monotonic()))


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


async def _judge_conflict(platform, change, deadline, *, unknown: bool) -> None:
    """Returns if the change that came first is this one, else raises."""
    winner = await _winner(platform, change.version, deadline, unknown=unknown)
    if winner is None:
        raise exception.ChangeLostError(
            f"version {change.version - 1} is not the newest one"
        )
    if winner.nonce != change.nonce:
        raise exception.ChangeLostError(
            f"lost the race to version {winner.version} by "
            f"{winner.operator or 'unknown'}: nothing was changed"
        )


async def _winner(
    platform, version, deadline, *, unknown: bool
) -> configuration.Change | None:
    while True:
        try:
            row = await platform.read(
                change_key(version), timeout_s=_left(deadline)
            )
        except (
            exception.PlatformDownError,
            exception.RateLimitedError,
        ) as error:
            if time.monotonic() + _RETRY_S < deadline:
                await asyncio.sleep(_RETRY_S)
                continue
            raise exception.ChangeUnknownError(
                f"version {version} exists, but not whose it is"
            ) from error
        if row.version == 0:
            return None
        return msgspec.convert(row.value, configuration.Change)


async def _snapshot(platform, cfg, change) -> None:
    """Writes a snapshot now and then, for entries that start far behind."""
    if change.version % snapshot.EVERY or cfg.version != change.version - 1:
        return
    try:
        await snapshot.save(platform, configuration.apply(cfg, change))
    except exception.CopperloomError as error:
        # Best effort: without it a starting entry reads more change rows.
        event("snapshot_failed", version=change.version, code=error.code)
