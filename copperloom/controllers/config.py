"""Follows the newest configuration and decides whether to admit work."""

import time

import msgspec

from copperloom import configuration, exception
from copperloom.controllers import changes, draining, snapshot
from copperloom.decisions import config_staleness, scheduler
from copperloom.logs import event

__all__ = [
    "adopt",
    "apply_all",
    "confirm",
    "evidence",
    "is_fresh",
    "check_admission",
    "step",
]

_SCAN_ROWS = 200
_RETRY_AFTER_S = 1.0


async def step(state, now: float) -> None:
    """Reads the head row and adopts the changes since the version held.

    Safe to run at any time and concurrently: a version is adopted only if it
    is greater than the one held.

    Args:
        state: The entry's state.
        now: Monotonic seconds before the head is read. The version is confirmed
            as of then, since a delayed reply proves nothing newer.

    Raises:
        copperloom.exception.PlatformDownError: The platform did not reply, or
            lacks a change that its head row implies.
        copperloom.exception.RateLimitedError: The platform's rate limit is
            exceeded.
    """
    timeout_s = state.settings.platform.timeout_s
    row = await state.platform.read(changes.HEAD, timeout_s=timeout_s)
    newest = row.version
    if newest < state.cfg.version:
        # A platform that lost writes must not make this entry revert changes.
        event(
            "head_behind",
            level="ERROR",
            head=newest,
            version=state.cfg.version,
        )
        return
    if newest > state.cfg.version:
        await _catch_up(state, newest, timeout_s)
    if state.cfg.version < newest:
        return
    if not state.cfg_loaded:
        # Without a head row the configuration is still empty.
        adopt(state, state.cfg, now)
    confirm(state, now)


def confirm(state, at: float) -> None:
    """Records a time at which the version held was the newest."""
    state.confirmed_at = max(state.confirmed_at, at)


def adopt(state, cfg: configuration.Configuration, now: float) -> bool:
    """Puts a configuration in force at this entry if it is newer.

    Args:
        state: The entry's state.
        cfg: The configuration.
        now: Monotonic seconds.

    Returns:
        Whether it was adopted.
    """
    if state.cfg_loaded and cfg.version <= state.cfg.version:
        return False
    previous = state.cfg.version
    state.cfg = cfg
    state.cfg_loaded = True
    state.metrics.config_version.set(cfg.version)
    scheduler.set_configuration(state.sched, cfg, now)
    draining.refresh(state, now)
    state.wake.set()
    event(
        "configuration_adopted",
        version=cfg.version,
        previous=previous,
        preset=cfg.preset.name,
        targets=len(cfg.targets),
    )
    return True


async def _catch_up(state, newest: int, timeout_s: float) -> None:
    """Applies the changes since the version held, or since a newer snapshot."""
    cfg = state.cfg
    if newest - cfg.version > snapshot.EVERY:
        saved = await snapshot.load(state.platform, timeout_s=timeout_s)
        if saved is not None and saved.version > cfg.version:
            cfg = saved
    while cfg.version < newest:
        rows = await state.platform.scan(
            changes.CHANGE_PREFIX,
            after=changes.change_key(cfg.version),
            limit=_SCAN_ROWS,
            timeout_s=timeout_s,
        )
        before = cfg.version
        scanned = [msgspec.convert(r.value, configuration.Change) for r in rows]
        cfg = apply_all(state, cfg, scanned)
        if cfg.version == before:
            raise exception.PlatformDownError(
                f"change row {before + 1} is missing, but the head row has "
                f"version {newest}"
            )
    adopt(state, cfg, time.monotonic())


def apply_all(
    state,
    cfg: configuration.Configuration,
    successors: list[configuration.Change],
) -> configuration.Configuration:
    """Applies changes to a configuration, and keeps them for lagging peers.

    Args:
        state: The entry's state.
        cfg: The configuration.
        successors: Changes in order; those up to the configuration's version
            are skipped.

    Returns:
        The configuration after the changes.
    """
    for change in successors:
        if change.version <= cfg.version:
            continue
        cfg = configuration.apply(cfg, change)
        recent = state.recent_changes
        if recent and recent[-1].version + 1 != change.version:
            recent.clear()
        recent.append(change)
    return cfg


def evidence(state, now: float) -> config_staleness.Evidence:
    """Collects the evidence on whether the configuration is the newest."""
    contact_since = now - state.settings.membership.suspect_s
    members = state.members.values()
    contacts = [m for m in members if m.last_reply_at >= contact_since]
    # A restarted entry knows few members at first and would take a few of them
    # for a majority, so the greatest count known to any contact is used.
    known = max([len(members) + 1, *(m.known_members for m in contacts)])
    return config_staleness.Evidence(
        loaded=state.cfg_loaded,
        version=state.cfg.version,
        confirmed_at=state.confirmed_at,
        reported_version=max((m.version for m in members), default=0),
        contacts=len(contacts) + 1,
        members=known,
        listed=state.membership.listed_self,
    )


def is_fresh(state, now: float) -> bool:
    """Returns whether work may be admitted and sent to targets."""
    try:
        check_admission(state, now)
    except exception.StaleConfigurationError:
        return False
    return True


def check_admission(state, now: float) -> None:
    """Raises an error if the configuration may be outdated.

    Raises:
        copperloom.exception.StaleConfigurationError: New work must not be
            admitted; the error names the reason.
    """
    confirm_s = state.settings.membership.confirm_s
    if state.cfg_loaded and now - state.confirmed_at <= confirm_s:
        return
    reason = config_staleness.refusal_reason(
        evidence(state, now), now, confirm_s=confirm_s
    )
    if reason is not None:
        raise exception.StaleConfigurationError(
            reason, retry_after_s=_RETRY_AFTER_S
        )
