"""Histories of concurrent runs, and checkers of the promises over them.

A history holds what callers saw, what really ran at the targets, what each
entry said of its configuration, and what was done to the system. The
checkers are pure functions of a history: they find broken promises after
the run, so that a test of failures needs no knowledge of the order in which
things happened to go.
"""

from copperloom.history.checker import check
from copperloom.history.recorder import (
    Accepted,
    Call,
    ConfigurationRead,
    Fault,
    History,
    Leaving,
    Memory,
    Outcome,
    PlannedStop,
    TargetRun,
    Violation,
)
