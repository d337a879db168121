"""The size that the users design for, from their letter."""

import dataclasses

__all__ = ["BUDGET", "DESIGN", "PLATFORM", "TODAY", "Budget", "Rates", "Sizes"]


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """How much there is of everything.

    Attributes:
        daemons: Entries.
        runners: Targets.
        organisations: Organisations.
        models: Models in steady use.
        data_centres: Data centres.
        regions: Regions.
        requests_per_s: Requests at the peak.
        tokens_per_s: Tokens generated at the peak.
        changes_per_day: Changes of configuration.
        long_share: Share of prompts over 100,000 tokens.
        restarts_per_day: Instances restarted, replaced or failed.
    """

    daemons: int = 370
    runners: int = 1_400
    organisations: int = 25_000
    models: int = 9
    data_centres: int = 18
    regions: int = 5
    requests_per_s: float = 5_400.0
    tokens_per_s: float = 2_600_000.0
    changes_per_day: float = 3_600.0
    long_share: float = 0.02
    restarts_per_day: float = 173.0


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What a daemon may spend for control.

    Attributes:
        core: Share of a processor core.
        memory_bytes: Resident memory.
        bytes_per_s: Bytes sent and received.
    """

    core: float = 0.027
    memory_bytes: float = 64e6
    bytes_per_s: float = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """What the platform's table service can do.

    Attributes:
        writes_per_s: Rows written; "several hundred" taken as 300.
        reads_per_s: Reads.
    """

    writes_per_s: float = 300.0
    reads_per_s: float = 2_000.0


DESIGN = Sizes()
# The larger of today's two deployments; the requests are assumed.
TODAY = Sizes(
    daemons=9,
    runners=20,
    organisations=10,
    models=1,
    data_centres=3,
    regions=1,
    requests_per_s=50.0,
    tokens_per_s=2_000.0,
    changes_per_day=100.0,
)
BUDGET = Budget()
PLATFORM = Rates()
