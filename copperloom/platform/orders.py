"""Encodes memory reservation orders to targets and decodes the replies."""

import dataclasses

import msgspec

from copperloom.platform import headers

__all__ = ["ORDER_PATH", "OrderCall", "release", "reserve", "was_granted"]

ORDER_PATH = "/copperloom/order"
_OK = 200
_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class OrderCall:
    """The HTTP request of an order to a target.

    Attributes:
        headers: Headers of the request.
        body: Body of the request, as JSON.
    """

    headers: dict[str, str]
    body: bytes


def reserve(target: str, name: str, tokens: int, hold_s: float) -> OrderCall:
    """Builds the order to reserve memory or to extend a reservation.

    Args:
        target: Name of the target.
        name: Name of the reservation; an existing name extends it.
        tokens: Size of the reservation, in tokens.
        hold_s: Lifetime of the reservation from the order's arrival, in
            seconds.
    """
    body = {
        "op": "reserve",
        "id": name,
        "tokens": tokens,
        "hold_ms": int(hold_s * _MS),
    }
    return _build(target, body)


def release(target: str, name: str) -> OrderCall:
    """Builds the order to release a reservation."""
    return _build(target, {"op": "release", "id": name})


def was_granted(status: int) -> bool:
    """Returns whether the target granted the reservation."""
    return status == _OK


def _build(target: str, body: dict) -> OrderCall:
    order_headers = headers.for_order(target)
    return OrderCall(order_headers, msgspec.json.encode(body))
