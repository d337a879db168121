"""What the checks of a schedule find."""

import dataclasses

__all__ = ["Finding"]


@dataclasses.dataclass(frozen=True)
class Finding:
    """A violation of a guarantee.

    Attributes:
        rule: Name of the guarantee.
        detail: What was observed.
    """

    rule: str
    detail: str
