"""The tables that the platform's table service keeps for this system.

Targets register in one table, operators write the routing document to one row
of another, beside rows for the data centres that are to be evacuated, and the
instances of this system find each other in a third one.
A fourth one holds the requests that they have quarantined.
"""

import dataclasses
from typing import TypeVar

import msgspec

from copperloom import versions
from copperloom.platform import store
from copperloom.utils import malformed

__all__ = [
    "EvacuationRow",
    "MEMBERS_TABLE",
    "MemberRow",
    "QUARANTINE_TABLE",
    "QuarantineRow",
    "ROUTES_TABLE",
    "TARGETS_TABLE",
    "decode_member",
    "decode_quarantine",
    "encode_member",
    "encode_quarantine",
    "evacuation_rows",
    "routes_row",
]

ROUTES_TABLE = "op"
TARGETS_TABLE = "servers"
MEMBERS_TABLE = "copperloom-members"
QUARANTINE_TABLE = "copperloom-quarantine"
_ROUTES_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"
_Row = TypeVar("_Row")


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRow:
    """The registration of an instance of this system.

    Attributes:
        instance: Name of the instance.
        boot: Id of this run of its process.
        datagrams: IP:port for datagrams from peers.
        calls: IP:port for calls from peers; "" if it accepts none.
        data_centre: Data centre of the instance; "" if not given.
        cores: Processor time available to the instance, in cores.
        fleet: Number of instances known when the row was written, including
            the instance itself.
    """

    instance: str
    boot: str
    datagrams: str
    calls: str
    data_centre: str = ""
    cores: float = 1.0
    fleet: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRow:
    """The operators' request to evacuate a data centre, or its end.

    Attributes:
        data_centre: Name of the data centre; "" if the row names none.
        version: Version of the row.
        active: Whether the data centre is to be evacuated.
    """

    data_centre: str
    version: versions.Version
    active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineRow:
    """A quarantined request.

    Attributes:
        digest: Digest of the request.
        crashes: Incarnations of the targets that crashed under it.
        trials: Names of the trials begun since.
    """

    digest: bytes
    crashes: list[str]
    trials: list[str]


def routes_row(feed: store.Feed) -> store.StoredRow | None:
    """Returns the row of the routing document, or None if absent."""
    found = None
    for row in feed.rows:
        if row.key == _ROUTES_KEY and row.value is not None:
            found = row
    return found


def evacuation_rows(feed: store.Feed) -> list[EvacuationRow]:
    """Returns the evacuations among rows of the operators' table, in order."""
    return [
        EvacuationRow(
            data_centre=row.key.removeprefix(_EVACUATION_PREFIX),
            version=row.version,
            active=not row.removed,
        )
        for row in feed.rows
        if row.key.startswith(_EVACUATION_PREFIX)
    ]


def encode_member(row: MemberRow) -> bytes:
    """Returns the encoded row of a member."""
    return msgspec.json.encode(row)


def decode_member(raw: bytes | None) -> MemberRow | None:
    """Returns a member's decoded row, or None if it is malformed."""
    return _decode(raw, MemberRow)


def encode_quarantine(row: QuarantineRow) -> bytes:
    """Returns the encoded row of a quarantined request."""
    return msgspec.json.encode(row)


def decode_quarantine(raw: bytes | None) -> QuarantineRow | None:
    """Returns a quarantined request's decoded row; None if malformed."""
    return _decode(raw, QuarantineRow)


def _decode(raw: bytes | None, row_type: type[_Row]) -> _Row | None:
    if raw is None:
        return None
    try:
        return msgspec.json.decode(raw, type=row_type)
    except malformed.ERRORS:
        return None
