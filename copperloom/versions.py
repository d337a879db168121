"""Versions of rows in the platform's table service.

The service may come back from an older copy of its rows. It then gives out the
same numbers again, and counts its returns in an era. Only both together order
what the service has said.
"""

import dataclasses

__all__ = ["NONE", "Version"]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Version:
    """A version of a row or of all rows, ordered by era, then number.

    Attributes:
        era: Era of the table service; 0 if the service names none.
        number: Number within the era; 0 precedes all transactions.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


# Older than anything that was read.
NONE = Version()
