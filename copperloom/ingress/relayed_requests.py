"""Serves requests of peers that reach no target.

They pass the same filters as those of callers, except that the peer has read
the body and counts the request. They are never relayed to a third instance.
"""

import asyncio
import contextlib

import multidict

from copperloom import chains, logs
from copperloom.decisions import load_shedding
from copperloom.decisions import peer_relay as relay_decisions
from copperloom.ingress import chain, exchange, long_answers, peer_relay
from copperloom.ingress.state import IngressState
from copperloom.peers import (
    peers_grpc,
    peers_pb2,
    relay_messages,
    relay_stream,
)

__all__ = ["make_service"]

_CHUNK_BYTES = 64 * 1024
_MS = 1000.0


class RelayedHttp:
    """The HTTP request that a peer has received.

    Attributes:
        method: HTTP method.
        raw_path: Path and query as sent.
        headers: All headers.
        transport: Itself; a broken answer ends with an error message.
    """

    def __init__(self, method: str, raw_path: str, headers):
        self.method = method
        self.raw_path = raw_path
        self.headers: multidict.CIMultiDict[str] = headers
        self.transport = self

    def abort(self) -> None:
        """Does nothing: the error that follows tells the peer."""


class PeerStream:
    """The messages to the peer; one is sent at a time.

    Attributes:
        stream: The library's stream.
        lock: Held while a message is sent.
    """

    def __init__(self, stream):
        self.stream = stream
        self.lock = asyncio.Lock()

    async def send(self, **part) -> None:
        """Sends a message; waits until the peer has read earlier ones.

        Raises:
            ConnectionResetError: The peer has left.
        """
        async with self.lock:
            try:
                await self.stream.send_message(peers_pb2.RelayReply(**part))
            except relay_stream.ERRORS as error:
                raise ConnectionResetError("peer has left") from error

    async def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""
        for begin in range(0, len(data), _CHUNK_BYTES):
            await self.send(data=data[begin : begin + _CHUNK_BYTES])


class PeerResponse:
    """A response that is sent to the peer while it is received.

    Attributes:
        peer: The messages to the peer.
        status: HTTP status.
        reason: Its reason phrase.
        headers: The headers.
        prepared: Whether the head has been sent.
    """

    def __init__(self, peer: PeerStream, *, status: int, reason, headers):
        self.peer = peer
        self.status = status
        self.reason = reason
        self.headers = headers
        self.prepared = False

    def force_close(self) -> None:
        """Does nothing: the connection serves one request."""

    async def prepare(self, http: RelayedHttp) -> None:
        """Sends the head."""
        self.prepared = True
        await self.peer.send(head=relay_messages.encode_head(self))

    async def write(self, data: bytes) -> None:
        """Sends complete events."""
        await self.peer.send_data(data)

    async def write_eof(self) -> None:
        """Does nothing: the end of the request is sent for all responses."""


class _Relay(peers_grpc.RelayBase):
    def __init__(self, state: IngressState):
        self.state = state

    async def Forward(self, stream) -> None:  # noqa: N802
        request = await stream.recv_message()
        if request is None:
            return
        now = asyncio.get_running_loop().time()
        refusal = _check_offer(self.state, request.offer, now)
        _log_offer(self.state, request.offer, refusal)
        verdict = peers_pb2.RelayVerdict(refusal=refusal or "")
        await stream.send_message(peers_pb2.RelayReply(verdict=verdict))
        if refusal is not None:
            return
        self.state.relayed += 1
        try:
            await _serve(self.state, request.offer, stream)
        finally:
            self.state.relayed -= 1


def make_service(state: IngressState) -> peers_grpc.RelayBase:
    """Returns the service that peers relay requests to."""
    return _Relay(state)


def _check_offer(
    state: IngressState, offer: peers_pb2.RelayOffer, now: float
) -> relay_decisions.Refusal | None:
    return relay_decisions.check_offer(
        relay_decisions.Facts(
            is_current=state.table.version >= offer.routes_version,
            reaches_targets=not state.reachability.is_lost,
            is_shedding=load_shedding.is_shedding(state.shed_at, now),
            relayed=state.relayed,
            cores=state.settings.cores,
        )
    )


def _log_offer(state: IngressState, offer, refusal) -> None:
    state.metrics.relayed.labels("received", refusal or "accepted").inc()
    logs.event(
        "request_offered",
        request=offer.request,
        peer=offer.instance,
        result=refusal or "accepted",
        relayed=state.relayed,
    )


async def _serve(state: IngressState, offer, stream) -> None:
    body = await _read_body(stream)
    if body is None:
        return
    peer = PeerStream(stream)
    ex = _make_exchange(state, offer, body, peer)
    try:
        await _answer(ex, peer)
    finally:
        long_answers.release(ex)


async def _answer(ex: exchange.Exchange, peer: PeerStream) -> None:
    progress = asyncio.ensure_future(_report_progress(peer))
    try:
        await chains.run(chain.RELAYED_REQUESTS, ex)
    finally:
        progress.cancel()
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await progress
    if ex.response is not None:
        await _send_end(ex, peer)


async def _read_body(stream) -> bytes | None:
    """Returns the complete body; None if the peer has left before its end."""
    chunks = []
    while (request := await stream.recv_message()) is not None:
        chunks.append(request.body)
        if request.is_last:
            return b"".join(chunks)
    return None


def _make_exchange(
    state: IngressState, offer, body: bytes, peer: PeerStream
) -> exchange.Exchange:
    http = RelayedHttp(
        offer.method,
        relay_messages.decode_text(offer.raw_path),
        relay_messages.decode_headers(offer.headers),
    )
    now = asyncio.get_running_loop().time()
    ex = exchange.Exchange(state, http, now - offer.waited_ms / _MS)
    ex.deadline = now + offer.time_left_ms / _MS
    ex.id = offer.request
    ex.body = body
    ex.last_event = offer.last_event_id
    ex.sent_to = set(offer.sent_to)
    ex.relayed_by = offer.instance
    ex.new_stream = lambda **head: PeerResponse(peer, **head)
    return ex


async def _report_progress(peer: PeerStream) -> None:
    while True:
        await asyncio.sleep(peer_relay.PROGRESS_S)
        if not peer.lock.locked():
            await peer.send(progress=peers_pb2.RelayProgress())


async def _send_end(ex: exchange.Exchange, peer: PeerStream) -> None:
    """Sends a plain answer, unless there is an error, and the end."""
    if ex.error is None and not isinstance(ex.response, PeerResponse):
        await peer.send(head=relay_messages.encode_head(ex.response))
        await peer.send_data(ex.response.body)
    await peer.send(end=relay_messages.encode_end(ex.error, ex.run))
