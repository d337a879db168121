"""Histories of concurrent runs and checkers of the system's guarantees.

A history records the outcomes that callers saw, the work that ran at the
targets, the configuration that each entry reported, and the faults and changes
applied to the system. The checkers are pure functions that find violations in
a history after the run, so that a test with faults does not depend on the
order in which concurrent events happen.
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
