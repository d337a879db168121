"""Calls to other instances by datagrams, which may be lost."""

import asyncio
from collections.abc import Callable

from copperloom.decisions import members
from copperloom.ingress import datagrams
from copperloom.ingress.state import IngressState

__all__ = ["call", "handle_reply"]

_Request = datagrams.PlacementRequest | datagrams.SendRequest
_Reply = datagrams.PlacementReply | datagrams.SendReply


async def call(
    state: IngressState,
    address: str,
    make_request: Callable[[int], _Request],
    timeout_s: float,
    *,
    tries: int = 1,
) -> _Reply | None:
    """Sends a request until there is a reply; returns None if there is none.

    Args:
        state: The instance's state.
        address: IP:port of the instance that is called.
        make_request: Returns the request with the number of the call, which
            the reply repeats.
        timeout_s: Timeout for the reply after each time it is sent, in seconds.
        tries: How often it is sent at most.
    """
    call_id = next(state.call_ids)
    future = asyncio.get_running_loop().create_future()
    state.pending_calls[call_id] = future
    data = datagrams.encode(make_request(call_id))
    try:
        for _ in range(tries):
            state.send(data, address)
            done, _ = await asyncio.wait({future}, timeout=timeout_s)
            if done:
                return future.result()
    finally:
        del state.pending_calls[call_id]
    return None


def handle_reply(state: IngressState, reply: _Reply) -> None:
    """Passes a reply to the call that awaits it, if it has not timed out."""
    owner = state.members.get(reply.owner)
    if owner is not None:
        members.record_received(owner, asyncio.get_running_loop().time())
    future = state.pending_calls.get(reply.call_id)
    if future is not None and not future.done():
        future.set_result(reply)
