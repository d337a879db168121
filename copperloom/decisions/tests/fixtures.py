"""Evidence and limits that tests of decisions share."""

from copperloom.decisions import (
    crash_evidence,
    crash_log,
    quarantine,
    target_limits,
)

__all__ = [
    "DIGEST",
    "NOW",
    "TARGET",
    "find_quarantine",
    "limited",
    "log_of_crashes",
]

DIGEST = b"digest"
TARGET = "t@1"
NOW = 1000.0


def log_of_crashes(*crashed_at: float) -> crash_log.CrashLog:
    """Returns a log of crashes of different targets at the given times."""
    log = crash_log.CrashLog()
    for number, at in enumerate(crashed_at):
        crash_evidence.record_crash(log, DIGEST, f"t{number}", at)
    return log


def find_quarantine(log: crash_log.CrashLog) -> quarantine.Quarantine | None:
    """Returns the quarantine of DIGEST, if there is one."""
    return quarantine.find(log, DIGEST)


def limited(per_s: float) -> target_limits.TargetLimits:
    """Returns limits of which TARGET has named one."""
    known = target_limits.TargetLimits()
    target_limits.record_named(known, TARGET, per_s, NOW)
    return known
