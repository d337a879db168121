"""Works out what each controller costs at a size, from measured slopes.

Pure arithmetic on the slopes and on the entries' default settings; what is
assumed stands beside each row.
"""

import dataclasses

from copperloom.controllers import load_polling, member, membership
from copperloom.daemons import options
from copperloom.experiments import plan, sizes

__all__ = ["Measured", "Row", "rows", "totals"]

_DIGEST_LOADS = 12
# A long request asks, renews about twice and releases.
_ASKS = 4
_HALF = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """Slopes that were measured; processor times are of both sides together.

    Attributes:
        head_bytes: A read of the configuration's head.
        head_s: Its processor time.
        list_row_bytes: A row of the instance list.
        list_s: Processor time of reading the list at the size measured.
        change_bytes: A change, encoded.
        change_s: Decoding and applying a change of an organisation.
        adopt_s: The scheduler's taking over of a configuration.
        exchange_bytes: An exchange of empty digests, both ways.
        exchange_s: Its processor time.
        load_bytes: One target's load in a digest.
        report_bytes: A load report from an engine.
        report_s: Its processor time.
        owner_s: Finding the owners of all targets once.
        reservation_bytes: A reservation.
        reservation_s: Its processor time.
        record_s: An idempotency record's row.
    """

    head_bytes: float
    head_s: float
    list_row_bytes: float
    list_s: float
    change_bytes: float
    change_s: float
    adopt_s: float
    exchange_bytes: float
    exchange_s: float
    load_bytes: float
    report_bytes: float
    report_s: float
    owner_s: float
    reservation_bytes: float
    reservation_s: float
    record_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One kind of work of one entry.

    Attributes:
        controller: Whose work it is.
        what: What is done.
        per_s: How often, for one entry.
        bytes_per_s: Bytes both ways.
        core: Share of a processor core; half of both sides' time where two
            processes share it.
        reads_per_s: Reads that all entries together make at the platform.
        writes_per_s: Rows that all together write at its table service.
    """

    controller: str
    what: str
    per_s: float
    bytes_per_s: float = 0.0
    core: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


def rows(
    got: Measured,
    size: sizes.Sizes,
    *,
    keyed_share: float = 0.03,
    own: options.EntrySettings | None = None,
) -> list[Row]:
    """Returns the work of each controller of one entry.

    Args:
        got: The measured slopes.
        size: The size.
        keyed_share: Share of requests that are marked not repeatable and have
            a key (assumed); each writes two rows.
        own: The entries' settings; the defaults if None.
    """
    own = own or plan.make_settings(options.EntrySettings, {})
    return [
        *_configuration(got, size, own),
        *_members(got, size, own),
        *_engines(got, size, own),
        _records(got, size, keyed_share),
    ]


def totals(found: list[Row]) -> Row:
    """Returns the sum of rows."""
    return Row(
        "all",
        "",
        0.0,
        sum(r.bytes_per_s for r in found),
        sum(r.core for r in found),
        sum(r.reads_per_s for r in found),
        sum(r.writes_per_s for r in found),
    )


def _configuration(got, size, own) -> list[Row]:
    heads = 1 / own.platform.head_poll_s
    changes = size.changes_per_day / 86_400
    return [
        Row(
            "config",
            "reads of the head",
            heads,
            heads * got.head_bytes,
            heads * got.head_s * _HALF,
            reads_per_s=heads * size.daemons,
        ),
        Row(
            "config",
            "changes adopted",
            changes,
            changes * (got.change_bytes + got.head_bytes),
            changes * (got.change_s + got.adopt_s + got.head_s),
            reads_per_s=changes * size.daemons,
            # Head, change and audit row; once for the whole fleet.
            writes_per_s=3 * changes,
        ),
    ]


def _members(got, size, own) -> list[Row]:
    poll_s = own.platform.instances_poll_s
    looks = 1 / member.list_interval(poll_s, size.daemons)
    list_bytes = size.daemons * got.list_row_bytes
    # Each entry sends as many as it gets.
    sent = membership.exchanges_per_s(own.membership, size.daemons)
    each = got.exchange_bytes + 2 * _DIGEST_LOADS * got.load_bytes
    return [
        Row(
            "members",
            "reads of the instance list",
            looks,
            looks * list_bytes,
            looks * got.list_s * _HALF,
            reads_per_s=looks * size.daemons,
        ),
        Row(
            "members",
            "exchanges of digests",
            2 * sent,
            2 * sent * each,
            2 * sent * got.exchange_s * _HALF,
        ),
    ]


def _engines(got, size, own) -> list[Row]:
    watched = min(load_polling.WATCH_MOST, size.runners)
    polls = min(watched / own.targets.load_poll_s, own.targets.load_polls_per_s)
    steps = 4 / own.targets.reservation_s
    owned = size.runners / size.daemons
    looks = owned * (steps + 1 / own.targets.reclaim_poll_s)
    asked = size.requests_per_s * size.long_share / size.daemons
    return [
        Row(
            "loads",
            "load reports",
            polls,
            polls * got.report_bytes,
            polls * got.report_s * _HALF,
        ),
        Row("owners", "owners of all targets", steps, core=steps * got.owner_s),
        Row(
            "owners, reclaim",
            "lists of streams at owned engines",
            looks,
            looks * got.report_bytes,
            looks * got.report_s * _HALF,
        ),
        Row(
            "owners",
            "reservations, renewals, releases",
            asked * _ASKS,
            asked * _ASKS * got.reservation_bytes * 2,
            asked * _ASKS * got.reservation_s,
        ),
    ]


def _records(got, size, keyed_share) -> Row:
    keyed = size.requests_per_s * keyed_share
    each = 2 * keyed / size.daemons
    return Row(
        "records",
        "idempotency records",
        each,
        core=each * got.record_s,
        writes_per_s=2 * keyed,
    )
