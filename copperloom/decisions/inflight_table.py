"""What all instances together have in progress at each target.

Each instance sees only its own callers. Where nine instances place by their
own counts alone, each finds the same target idle and all send to it. So each
tells the others what it has in progress, and placement looks at the sum. What
a peer said fades when the peer falls silent: a dead instance's work ends with
its connections, and counting it for ever would leave its targets unused.
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

# A peer tells its work at least once a second; three seconds are three lost
# messages in a row, beyond the loss of a working network.
PEER_TIMEOUT_S = 3.0
# A placement made for a peer counts for so long until the peer tells it.
PENDING_S = 0.5

# Whose work it is: a peer's name ("" for this instance's own) and a request's
# id ("" for all that a peer has told).
_Holder = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerWork:
    """What a peer has in progress, and when it said so.

    Attributes:
        boot: The run of the peer's process.
        sequence: Number of the message.
        received_at: Monotonic time at which it came.
        work: Its work; begun is on this instance's clock.
    """

    boot: str
    sequence: int
    received_at: float
    work: tuple[inflight.Work, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingPlacement:
    """A placement made for a peer that the peer has not told of yet.

    Attributes:
        sequence: Number of the last message that the peer had sent by then.
        until: Monotonic time until which it counts.
        work: The work.
    """

    sequence: int
    until: float
    work: tuple[inflight.Work, ...]


class InflightTable:
    """The work in progress that this instance knows of.

    Attributes:
        own: This instance's work by request id.
        peers: The peers' work by instance name.
        pending: Placements made for peers, by instance name and request id.
        by_target: All work by target and holder, kept as it changes: a
            placement then costs as much as the work at the targets it weighs,
            not as much as the whole fleet's.
        on_change: Called after each change of this instance's own work; told
            whether work was added, which others should know of at once.
    """

    def __init__(self):
        self.own: dict[str, tuple[inflight.Work, ...]] = {}
        self.peers: dict[str, PeerWork] = {}
        self.pending: dict[str, dict[str, PendingPlacement]] = {}
        self.by_target: dict[str, dict[_Holder, tuple[inflight.Work, ...]]] = {}
        self.on_change: Callable[[bool], None] = _ignore


def _ignore(added: bool) -> None:
    """Tells nobody."""


def _add(
    table: InflightTable, holder: _Holder, work: tuple[inflight.Work, ...]
) -> None:
    for one in work:
        held = table.by_target.setdefault(one.target, {})
        held[holder] = (*held.get(holder, ()), one)


def _drop(
    table: InflightTable, holder: _Holder, work: tuple[inflight.Work, ...]
) -> None:
    for target in {one.target for one in work}:
        held = table.by_target.get(target, {})
        held.pop(holder, None)
        if not held:
            table.by_target.pop(target, None)


def begin(
    table: InflightTable, request: str, work: Iterable[inflight.Work]
) -> None:
    """Notes work that is about to be sent, replacing the request's earlier."""
    _drop(table, ("", request), table.own.get(request, ()))
    table.own[request] = tuple(work)
    _add(table, ("", request), table.own[request])
    table.on_change(True)


def mark_decoding(table: InflightTable, request: str) -> None:
    """Notes the first token: all parts are read, only the writer is left."""
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
    """Notes that a request has nothing in progress any more."""
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
    """Notes a placement made for a peer.

    Others are placed before the peer's own word comes; without the note two
    of them get the same last slot.

    Args:
        table: The work in progress.
        peer: The peer's name.
        request: Its request.
        sequence: Number of the last message that the peer had sent when it
            asked.
        work: What it will have in progress.
        now: Monotonic time.
    """
    _remove_pending(table, peer, request)
    made = PendingPlacement(sequence, now + PENDING_S, tuple(work))
    table.pending.setdefault(peer, {})[request] = made
    _add(table, (peer, request), made.work)


def _remove_pending(table: InflightTable, peer: str, request: str) -> None:
    made = table.pending.get(peer, {}).pop(request, None)
    if made is not None:
        _drop(table, (peer, request), made.work)


def apply_update(table: InflightTable, peer: str, told: PeerWork) -> bool:
    """Takes over what a peer says; False if it is older than what is known.

    Messages may overtake each other. A new boot knows nothing of the earlier
    one's work, so it replaces all that was known.
    """
    known = table.peers.get(peer)
    same_boot = known is not None and known.boot == told.boot
    if same_boot and told.sequence <= known.sequence:
        return False
    if known is not None:
        _drop(table, (peer, ""), known.work)
    table.peers[peer] = told
    _add(table, (peer, ""), told.work)
    for request, made in list(table.pending.get(peer, {}).items()):
        if made.sequence < told.sequence or not same_boot:
            _remove_pending(table, peer, request)
    return True


def drop_target(table: InflightTable, target: str) -> None:
    """Drops what peers had at a target that has started again."""
    for peer, told in table.peers.items():
        kept = tuple(w for w in told.work if w.target != target)
        if len(kept) < len(told.work):
            table.peers[peer] = dataclasses.replace(told, work=kept)
            _drop(table, (peer, ""), told.work)
            _add(table, (peer, ""), kept)
    for holder in list(table.by_target.get(target, ())):
        peer, request = holder
        if peer and request:
            _remove_pending(table, peer, request)


def drop_silent_peers(table: InflightTable, now: float) -> None:
    """Drops the work of peers that fell silent, and grants never taken up."""
    for peer, told in list(table.peers.items()):
        if now - told.received_at > PEER_TIMEOUT_S:
            _drop(table, (peer, ""), told.work)
            del table.peers[peer]
    for peer, grants in list(table.pending.items()):
        for request, made in list(grants.items()):
            if now > made.until:
                _remove_pending(table, peer, request)
        if not grants:
            del table.pending[peer]


def staleness_s(table: InflightTable, now: float) -> float:
    """Returns the age of the oldest word of a peer that still counts."""
    ages = (now - told.received_at for told in table.peers.values())
    return max((a for a in ages if a <= PEER_TIMEOUT_S), default=0.0)


def own_work(table: InflightTable) -> list[inflight.Work]:
    """Lists this instance's own work."""
    return [w for works in table.own.values() for w in works]


def loads(
    table: InflightTable, now: float, targets: Iterable[str] | None = None
) -> dict[str, inflight.TargetLoad]:
    """Sums the work at each target; targets without any are left out.

    Args:
        table: The work in progress.
        now: Monotonic time.
        targets: Names of the targets that matter; None for all.

    Returns:
        The load by target name.
    """
    found = {}
    for name in table.by_target if targets is None else targets:
        works = _active_work(table, name, now)
        if works:
            found[name] = inflight.total(works, now)
    return found


def _active_work(
    table: InflightTable, target: str, now: float
) -> list[inflight.Work]:
    """Lists the work at a target that still counts."""
    works = []
    for (peer, request), held in table.by_target.get(target, {}).items():
        if peer and request:
            if now > table.pending[peer][request].until:
                continue
        elif peer and now - table.peers[peer].received_at > PEER_TIMEOUT_S:
            continue
        works.extend(held)
    return works
