"""Fleet sizes, and the limits that capacity is compared with."""

import dataclasses

__all__ = ["BUDGET", "DESIGN", "PLATFORM", "TODAY", "Budget", "Rates", "Sizes"]


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """The size and load of a fleet.

    Attributes:
        entries: Number of entries.
        runners: Number of targets.
        organisations: Number of organisations.
        models: Number of models in steady use.
        data_centres: Number of data centres.
        regions: Number of regions.
        requests_per_s: Request rate at the peak.
        tokens_per_s: Rate of generated tokens at the peak.
        changes_per_day: Configuration changes a day.
        long_share: Share of prompts over 100,000 tokens.
        restarts_per_day: Instances that restart, fail or are replaced a day.
    """

    entries: int = 370
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
    """Resources that an entry may spend on its controllers.

    Attributes:
        core: Share of a processor core.
        memory_bytes: Resident memory.
        bytes_per_s: Bytes sent and received a second.
    """

    core: float = 0.027
    memory_bytes: float = 64e6
    bytes_per_s: float = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Rates that the platform's table service supports.

    Attributes:
        writes_per_s: Rows written a second.
        reads_per_s: Reads a second.
    """

    writes_per_s: float = 300.0
    reads_per_s: float = 2_000.0


DESIGN = Sizes()
# The larger of the two existing deployments; its request rate is an assumption.
TODAY = Sizes(
    entries=9,
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
