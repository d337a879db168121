"""The work in progress of all instances at each target.

An instance that considered only its own requests would find the same targets
idle as its peers do, and together they would overload them. So instances send
each other reports of their work, and placement uses the sum. Reports of a
silent peer expire: a dead instance's work ends with its connections, and
counting it forever would leave its targets unused.
"""

import dataclasses
from collections.abc import Callable, Iterable

from copperloom.decisions import inflight

__all__ = [
    "InflightTable",
    "PendingPlacement",
    "PeerWork",
    "staleness_s",
    "begin",
    "end",
    "drop_silent_peers",
    "drop_target",
    "add_pending",
    "apply_update",
    "loads",
    "mark_decoding",
    "own_work",
]

# Peers report at least once a second; losing three messages in a row exceeds
# the loss of a working network.
PEER_TIMEOUT_S = 3.0
# A placement made for a peer counts for this long unless the peer reports it
# earlier.
PENDING_S = 0.5

# The holder of work: a peer's name ("" for this instance) and a request's id
# ("" for all work that a peer has reported).
_Holder = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerWork:
    """A peer's report of its work in progress.

    Attributes:
        boot: Identifies the run of the peer's process.
        sequence: Number of the message.
        received_at: Monotonic time at which it was received.
        work: The peer's work; `started_at` is on this instance's clock.
    """

    boot: str
    sequence: int
    received_at: float
    work: tuple[inflight.Work, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPlacement:
    """A placement made for a peer that the peer has not reported yet.

    Attributes:
        sequence: Number of the last message that the peer had sent when it
            was placed.
        until: Monotonic time until which it counts.
        work: The placed work.
    """

    sequence: int
    until: float
    work: tuple[inflight.Work, ...]


class InflightTable:
    """The work in progress that this instance knows of.

    Attributes:
        own: This instance's work by request id.
        peers: The peers' reports by instance name.
        pending: Placements made for peers, by instance name and request id.
        by_target: All work by target and holder. It is updated with each
            change, so that a placement costs as much as the work at its
            candidates, not as much as that of the whole fleet.
        on_change: Called after each change of this instance's own work; the
            argument is whether work was added, which peers should learn at
            once.
    """

    def __init__(self):
        self.own: dict[str, tuple[inflight.Work, ...]] = {}
        self.peers: dict[str, PeerWork] = {}
        self.pending: dict[str, dict[str, PendingPlacement]] = {}
        self.by_target: dict[str, dict[_Holder, tuple[inflight.Work, ...]]] = {}
        self.on_change: Callable[[bool], None] = _ignore


def _ignore(added: bool) -> None:
    """Does nothing; the default of `InflightTable.on_change`."""


def _add(
    table: InflightTable, holder: _Holder, works: tuple[inflight.Work, ...]
) -> None:
    for work in works:
        by_holder = table.by_target.setdefault(work.target, {})
        by_holder[holder] = (*by_holder.get(holder, ()), work)


def _drop(
    table: InflightTable, holder: _Holder, works: tuple[inflight.Work, ...]
) -> None:
    for target in {work.target for work in works}:
        by_holder = table.by_target.get(target, {})
        by_holder.pop(holder, None)
        if not by_holder:
            table.by_target.pop(target, None)


def begin(
    table: InflightTable, request: str, work: Iterable[inflight.Work]
) -> None:
    """Records a request's work before it is sent; replaces any earlier work."""
    _drop(table, ("", request), table.own.get(request, ()))
    table.own[request] = tuple(work)
    _add(table, ("", request), table.own[request])
    table.on_change(True)


def mark_decoding(table: InflightTable, request: str) -> None:
    """Records the first token: the prefill is finished, decoding goes on."""
    if request not in table.own:
        return
    before = table.own[request]
    table.own[request] = tuple(
        dataclasses.replace(w, decoding=True)
        for w in before
        if w.generates or w.tokens
    )
    _drop(table, ("", request), before)
    _add(table, ("", request), table.own[request])
    table.on_change(False)


def end(table: InflightTable, request: str) -> None:
    """Records that a request has no more work in progress."""
    work = table.own.pop(request, None)
    if work is not None:
        _drop(table, ("", request), work)
        table.on_change(False)


def add_pending(
    table: InflightTable,
    peer: str,
    request: str,
    sequence: int,
    work: Iterable[inflight.Work],
    now: float,
) -> None:
    """Records a placement made for a peer.

    Other requests are placed before the peer's own report arrives; without
    this record two of them could get the same last slot.

    Args:
        table: The work in progress.
        peer: Name of the peer.
        request: Id of its request.
        sequence: Number of the last message that the peer had sent when it
            sent the placement query.
        work: The work that the peer will have in progress.
        now: Monotonic time.
    """
    _remove_pending(table, peer, request)
    placement = PendingPlacement(sequence, now + PENDING_S, tuple(work))
    table.pending.setdefault(peer, {})[request] = placement
    _add(table, (peer, request), placement.work)


def _remove_pending(table: InflightTable, peer: str, request: str) -> None:
    placement = table.pending.get(peer, {}).pop(request, None)
    if placement is not None:
        _drop(table, (peer, request), placement.work)


def apply_update(table: InflightTable, peer: str, update: PeerWork) -> bool:
    """Applies a peer's report; returns False if a later one is known.

    Messages may arrive out of order. A new boot has none of the earlier one's
    work, so its first report replaces all that was known.
    """
    known = table.peers.get(peer)
    same_boot = known is not None and known.boot == update.boot
    if same_boot and update.sequence <= known.sequence:
        return False
    if known is not None:
        _drop(table, (peer, ""), known.work)
    table.peers[peer] = update
    _add(table, (peer, ""), update.work)
    for request, placement in list(table.pending.get(peer, {}).items()):
        if placement.sequence < update.sequence or not same_boot:
            _remove_pending(table, peer, request)
    return True


def drop_target(table: InflightTable, target: str) -> None:
    """Drops the peers' work at a target that has restarted."""
    for peer, report in table.peers.items():
        kept = tuple(w for w in report.work if w.target != target)
        if len(kept) < len(report.work):
            table.peers[peer] = dataclasses.replace(report, work=kept)
            _drop(table, (peer, ""), report.work)
            _add(table, (peer, ""), kept)
    for holder in list(table.by_target.get(target, ())):
        peer, request = holder
        if peer and request:
            _remove_pending(table, peer, request)


def drop_silent_peers(table: InflightTable, now: float) -> None:
    """Drops work of silent peers, and placements that no peer has reported."""
    for peer, report in list(table.peers.items()):
        if now - report.received_at > PEER_TIMEOUT_S:
            _drop(table, (peer, ""), report.work)
            del table.peers[peer]
    for peer, placements in list(table.pending.items()):
        for request, placement in list(placements.items()):
            if now > placement.until:
                _remove_pending(table, peer, request)
        if not placements:
            del table.pending[peer]


def staleness_s(table: InflightTable, now: float) -> float:
    """Returns the age of the oldest report that still counts, in seconds."""
    ages = (now - report.received_at for report in table.peers.values())
    return max((a for a in ages if a <= PEER_TIMEOUT_S), default=0.0)


def own_work(table: InflightTable) -> list[inflight.Work]:
    """Returns this instance's own work."""
    return [w for works in table.own.values() for w in works]


def loads(
    table: InflightTable, now: float, targets: Iterable[str] | None = None
) -> dict[str, inflight.TargetLoad]:
    """Sums the work at each target; targets without any are left out.

    Args:
        table: The work in progress.
        now: Monotonic time.
        targets: Names of the targets to sum; None for all.

    Returns:
        The load by target name.
    """
    totals = {}
    for name in table.by_target if targets is None else targets:
        works = _active_work(table, name, now)
        if works:
            totals[name] = inflight.total(works, now)
    return totals


def _active_work(
    table: InflightTable, target: str, now: float
) -> list[inflight.Work]:
    """Returns the work at a target that has not expired."""
    active = []
    for (peer, request), works in table.by_target.get(target, {}).items():
        if peer and request:
            if now > table.pending[peer][request].until:
                continue
        elif peer and now - table.peers[peer].received_at > PEER_TIMEOUT_S:
            continue
        active.extend(works)
    return active
