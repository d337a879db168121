"""Encodes orders to targets, and decodes what they answer."""

import dataclasses

import msgspec

from copperloom.platform import headers

__all__ = ["ORDER_PATH", "OrderCall", "release", "reserve", "was_granted"]

ORDER_PATH = "/copperloom/order"
_OK = 200
_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class OrderCall:
    """A call to a target.

    Attributes:
        headers: Its headers.
        body: Its body.
    """

    headers: dict[str, str]
    body: bytes


def reserve(target: str, name: str, tokens: int, hold_s: float) -> OrderCall:
    """Makes the order to set memory aside, or to prolong it.

    Args:
        target: Name of the target that is meant.
        name: Name of the reservation; the same one prolongs it.
        tokens: How much.
        hold_s: Life of the reservation, from the order's arrival.
    """
    body = {
        "op": "reserve",
        "id": name,
        "tokens": tokens,
        "hold_ms": int(hold_s * _MS),
    }
    return _call(target, body)


def release(target: str, name: str) -> OrderCall:
    """Makes the order to give memory back."""
    return _call(target, {"op": "release", "id": name})


def was_granted(status: int) -> bool:
    """Tells whether the memory is set aside."""
    return status == _OK


def _call(target: str, body: dict) -> OrderCall:
    own = headers.for_order(target)
    return OrderCall(own, msgspec.json.encode(body))
