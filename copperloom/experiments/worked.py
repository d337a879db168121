"""Computes the cost of each controller in a fleet from unit costs.

The result is derived from measured unit costs and the entries' settings alone;
assumptions are noted where they are used.
"""

import dataclasses

from copperloom.controllers import load_polling, member, membership
from copperloom.daemons import options
from copperloom.experiments import plan, sizes

__all__ = ["Row", "UnitCosts", "rows", "totals"]

_DIGEST_LOADS = 12
# A long request makes a reservation, renews it about twice and releases it.
_CALLS_PER_RESERVATION = 4
_ENTRY_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class UnitCosts:
    """Measured unit costs, in bytes and seconds of processor time.

    Processor times of messages include both sides.

    Attributes:
        head_bytes: A read of the configuration's head.
        head_s: A read of the configuration's head.
        list_row_bytes: A row of the instance list.
        list_s: A read of the instance list, at the size of the measurement.
        change_bytes: An encoded configuration change.
        change_s: Decoding and applying a change of an organisation.
        adopt_s: Adoption of a configuration by the scheduler.
        exchange_bytes: An exchange of empty digests, both ways.
        exchange_s: An exchange of empty digests.
        load_bytes: One target's load in a digest.
        report_bytes: A load report from an engine.
        report_s: A load report from an engine.
        owner_s: Computation of the owners of all targets.
        reservation_bytes: A reservation.
        reservation_s: A reservation.
        record_s: Writing one row of an idempotency record.
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
    """The cost of one kind of work for one entry.

    Attributes:
        controller: Name of the controller.
        what: Description of the work.
        per_s: Rate at one entry.
        bytes_per_s: Bytes both ways.
        core: Share of a processor core. Work that two processes share counts
            for half of both sides' time.
        reads_per_s: Reads at the platform by all entries together.
        writes_per_s: Rows written to the platform's table service by all
            entries together.
    """

    controller: str
    what: str
    per_s: float
    bytes_per_s: float = 0.0
    core: float = 0.0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


def rows(
    costs: UnitCosts,
    size: sizes.Sizes,
    *,
    keyed_share: float = 0.03,
    entry_settings: options.EntrySettings | None = None,
) -> list[Row]:
    """Returns the cost of each kind of work of an entry's controllers.

    Args:
        costs: The unit costs.
        size: The size of the fleet.
        keyed_share: Assumed share of requests that have an idempotency key;
            each writes two rows.
        entry_settings: The entries' settings; the defaults if None.
    """
    entry_settings = entry_settings or plan.make_settings(
        options.EntrySettings, {}
    )
    return [
        *_configuration(costs, size, entry_settings),
        *_members(costs, size, entry_settings),
        *_engines(costs, size, entry_settings),
        _records(costs, size, keyed_share),
    ]


def totals(parts: list[Row]) -> Row:
    """Returns a row with the sums of the others."""
    return Row(
        "all",
        "",
        0.0,
        sum(r.bytes_per_s for r in parts),
        sum(r.core for r in parts),
        sum(r.reads_per_s for r in parts),
        sum(r.writes_per_s for r in parts),
    )


def _configuration(costs, size, entry_settings) -> list[Row]:
    reads = 1 / entry_settings.platform.head_poll_s
    changes = size.changes_per_day / 86_400
    return [
        Row(
            "config",
            "reads of the head",
            reads,
            reads * costs.head_bytes,
            reads * costs.head_s * _ENTRY_SHARE,
            reads_per_s=reads * size.entries,
        ),
        Row(
            "config",
            "changes adopted",
            changes,
            changes * (costs.change_bytes + costs.head_bytes),
            changes * (costs.change_s + costs.adopt_s + costs.head_s),
            reads_per_s=changes * size.entries,
            # A head, change and audit row, once for the whole fleet.
            writes_per_s=3 * changes,
        ),
    ]


def _members(costs, size, entry_settings) -> list[Row]:
    poll_interval_s = entry_settings.platform.instances_poll_s
    reads = 1 / member.list_interval(poll_interval_s, size.entries)
    list_bytes = size.entries * costs.list_row_bytes
    # Each entry receives about as many exchanges as it sends.
    sent_per_s = membership.exchanges_per_s(
        entry_settings.membership, size.entries
    )
    bytes_per_exchange = (
        costs.exchange_bytes + 2 * _DIGEST_LOADS * costs.load_bytes
    )
    return [
        Row(
            "members",
            "reads of the instance list",
            reads,
            reads * list_bytes,
            reads * costs.list_s * _ENTRY_SHARE,
            reads_per_s=reads * size.entries,
        ),
        Row(
            "members",
            "exchanges of digests",
            2 * sent_per_s,
            2 * sent_per_s * bytes_per_exchange,
            2 * sent_per_s * costs.exchange_s * _ENTRY_SHARE,
        ),
    ]


def _engines(costs, size, entry_settings) -> list[Row]:
    watched = min(load_polling.MAX_WATCHED, size.runners)
    polls = min(
        watched / entry_settings.targets.load_poll_s,
        entry_settings.targets.load_polls_per_s,
    )
    steps = 4 / entry_settings.targets.reservation_s
    owned = size.runners / size.entries
    listings = owned * (steps + 1 / entry_settings.targets.reclaim_poll_s)
    reservations = size.requests_per_s * size.long_share / size.entries
    return [
        Row(
            "loads",
            "load reports",
            polls,
            polls * costs.report_bytes,
            polls * costs.report_s * _ENTRY_SHARE,
        ),
        Row(
            "owners", "owners of all targets", steps, core=steps * costs.owner_s
        ),
        Row(
            "owners, reclaim",
            "lists of streams at owned engines",
            listings,
            listings * costs.report_bytes,
            listings * costs.report_s * _ENTRY_SHARE,
        ),
        Row(
            "owners",
            "reservations, renewals, releases",
            reservations * _CALLS_PER_RESERVATION,
            reservations * _CALLS_PER_RESERVATION * costs.reservation_bytes * 2,
            reservations * _CALLS_PER_RESERVATION * costs.reservation_s,
        ),
    ]


def _records(costs, size, keyed_share) -> Row:
    keyed_per_s = size.requests_per_s * keyed_share
    rows_per_s = 2 * keyed_per_s / size.entries
    return Row(
        "records",
        "idempotency records",
        rows_per_s,
        core=rows_per_s * costs.record_s,
        writes_per_s=2 * keyed_per_s,
    )
