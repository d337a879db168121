"""What really happened at a stand-in, for tests to compare with."""

import collections
import time

from copperloom.targets import interface

__all__ = ["Ledger", "arrived", "called", "cancelled", "ordered", "tell"]

# Bounds the memory of a long trial; a test that looks further back fails.
_KEPT = 200_000


class Ledger:
    """Records in the order in which they happened.

    Attributes:
        runs: Work that was taken.
        arrivals: All work that came, also if refused.
        orders: Orders that came.
        cancels: Names cancelled.
        runs_by_key: Runs by ORGANISATION/KEY, of work with a key.
    """

    def __init__(self):
        self.runs = collections.deque(maxlen=_KEPT)
        self.arrivals = collections.deque(maxlen=_KEPT)
        self.orders = collections.deque(maxlen=_KEPT)
        self.cancels = collections.deque(maxlen=_KEPT)
        self.runs_by_key: collections.Counter[str] = collections.Counter()


def arrived(
    ledger: Ledger, req: interface.StreamOpen, mark: str, refusal: str
) -> None:
    """Notes a stream that came.

    Args:
        ledger: The records.
        req: What was asked.
        mark: The mark of its answer, which tells its prompt.
        refusal: Why it was refused; "" if it was taken.
    """
    now = time.time()
    ledger.arrivals.append(
        {"stream": req.stream, "wall_s": now, "refusal": refusal}
    )
    if refusal:
        return
    ledger.runs.append(
        {
            "stream": req.stream,
            "organisation": req.organisation,
            "deployment": req.deployment,
            "key": req.key,
            "mark": mark,
            "wall_s": now,
        }
    )
    if req.key:
        ledger.runs_by_key[f"{req.organisation}/{req.key}"] += 1


def called(ledger: Ledger, request: str, key: str, path: str) -> None:
    """Notes a call that a plain service ran."""
    ledger.runs.append(
        {"request": request, "key": key, "path": path, "wall_s": time.time()}
    )
    if key:
        ledger.runs_by_key[key] += 1


def cancelled(ledger: Ledger, stream: str) -> None:
    """Notes a cancel."""
    ledger.cancels.append(stream)


def ordered(ledger: Ledger, order: interface.Order, *, obeyed: bool) -> None:
    """Notes an order."""
    ledger.orders.append(
        {
            "kind": order.kind,
            "value": order.value,
            "fencing": order.fencing,
            "obeyed": obeyed,
            "wall_s": time.time(),
        }
    )


def tell(ledger: Ledger) -> dict:
    """Returns the records in a form that JSON has."""
    return {
        "runs": list(ledger.runs),
        "arrivals": list(ledger.arrivals),
        "orders": list(ledger.orders),
        "cancelled": list(ledger.cancels),
        "runs_by_key": dict(ledger.runs_by_key),
    }
