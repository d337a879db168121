"""Records of the work at a stand-in, for tests to compare against."""

import collections
import time

from copperloom.targets import interface

__all__ = [
    "Ledger",
    "record_arrival",
    "record_call",
    "record_cancel",
    "record_order",
    "snapshot",
]

# Bounds the memory used in long runs; older records are dropped.
_MAX_RECORDS = 200_000


class Ledger:
    """Records in chronological order.

    Attributes:
        runs: Work that was accepted.
        arrivals: All streams that arrived, including those refused.
        orders: Orders received.
        cancels: Names of cancelled streams.
        runs_by_key: Number of runs by idempotency key, as ORGANISATION/KEY
            at an engine and KEY at a plain service.
    """

    def __init__(self):
        self.runs = collections.deque(maxlen=_MAX_RECORDS)
        self.arrivals = collections.deque(maxlen=_MAX_RECORDS)
        self.orders = collections.deque(maxlen=_MAX_RECORDS)
        self.cancels = collections.deque(maxlen=_MAX_RECORDS)
        self.runs_by_key: collections.Counter[str] = collections.Counter()


def record_arrival(
    ledger: Ledger, req: interface.StreamOpen, mark: str, refusal: str
) -> None:
    """Records the arrival of a stream.

    Args:
        ledger: The ledger to add to.
        req: The request that opens the stream.
        mark: Digest of the prompt, which marks the tokens of the answer.
        refusal: Why the stream was refused; "" if it was accepted.
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


def record_call(ledger: Ledger, request: str, key: str, path: str) -> None:
    """Records a call that a plain service ran."""
    ledger.runs.append(
        {"request": request, "key": key, "path": path, "wall_s": time.time()}
    )
    if key:
        ledger.runs_by_key[key] += 1


def record_cancel(ledger: Ledger, stream: str) -> None:
    """Records the cancellation of a stream."""
    ledger.cancels.append(stream)


def record_order(
    ledger: Ledger, order: interface.Order, *, obeyed: bool
) -> None:
    """Records an order and whether it was obeyed."""
    ledger.orders.append(
        {
            "kind": order.kind,
            "value": order.value,
            "fencing": order.fencing,
            "obeyed": obeyed,
            "wall_s": time.time(),
        }
    )


def snapshot(ledger: Ledger) -> dict:
    """Returns the records as values that JSON can represent."""
    return {
        "runs": list(ledger.runs),
        "arrivals": list(ledger.arrivals),
        "orders": list(ledger.orders),
        "cancelled": list(ledger.cancels),
        "runs_by_key": dict(ledger.runs_by_key),
    }
