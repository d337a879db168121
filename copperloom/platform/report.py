"""Decodes the platform's score report of one day of traffic."""

import dataclasses
import pathlib

import msgspec

from copperloom import exception

__all__ = ["Part", "Report", "load"]


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A weighted part of the score of a day.

    Attributes:
        name: Name of the requests that the part covers.
        weight: Weight of the part in the score.
        earned: Share of the worth of these requests that was earned.
    """

    name: str
    weight: float
    earned: float

    @property
    def missing(self) -> float:
        """The amount by which the part lowers the score."""
        return self.weight * (1.0 - self.earned)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The score of a day.

    Attributes:
        worth: Weighted sum of the parts, less the deductions.
        parts: The parts of the score.
        deductions: Amounts subtracted from the score, by name.
    """

    worth: float
    parts: tuple[Part, ...]
    deductions: dict[str, float]


class _File(msgspec.Struct):
    # The score, its parts (name, weight, earned share), and its deductions
    # (name, quantity, amount).
    G: float
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]


def load(path: str) -> Report:
    """Loads a report from a file.

    Raises:
        copperloom.exception.SettingsError: The file can't be read or is
            malformed.
    """
    try:
        doc = msgspec.json.decode(pathlib.Path(path).read_bytes(), type=_File)
    except (OSError, msgspec.MsgspecError) as error:
        raise exception.SettingsError(f"{path}: {error}") from error
    return Report(
        doc.G,
        tuple(Part(*row) for row in doc.parts),
        {name: amount for name, _, amount in doc.prices if amount},
    )
