"""Holds the state of one request as it passes through the filters."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import hdrs, web

from copperloom import exception, routing
from copperloom.decisions import (
    answer_limits,
    load_shedding,
    plans,
    request_digest,
    shards,
)
from copperloom.filters import deadline
from copperloom.ingress.state import IngressState
from copperloom.platform import headers

__all__ = [
    "Exchange",
    "Filter",
    "Next",
    "closes_connection",
    "content_digest",
    "engine",
    "may_lead",
    "part_digests",
    "prompt_parts",
]

# Time limit of requests that state none; their route may set a lower one.
_DEFAULT_TIME_LIMIT_S = 60.0


class Exchange:
    """A request, its progress and its result.

    Times are monotonic, in seconds.

    Attributes:
        state: The instance's state.
        http: The request as aiohttp received it.
        head: The values of its headers.
        id: The caller's id for it, or a generated one.
        arrived: Time of arrival.
        deadline: Time by which it must have its final answer.
        limit: The timer that enforces the deadline.
        route: Its route, once found.
        service: The service that the route selected.
        shard: The targets of the service that it may be sent to.
        organisation: Owner of its key, "" on public routes.
        priority: Its priority; 0 is the highest.
        data_centres: The data centres whose targets may run it; None for all.
        body: The complete body.
        digest: Identity shared with repeats, see `content_digest`; empty until
            it is needed.
        parts: Digests of the parts of its prompt that others may share; None
            until they are needed.
        quarantined_as: Digest of the request or of a part of its prompt by
            which it was refused, empty if it was not.
        trial: Name of the trial that it is, and the digests that are tried; ""
            if it is none.
        table_version: Version of the routes under which it was admitted.
        plan: Its current placement.
        placed_at: Time of the current placement.
        cold_grant: The start of a target to which it may be sent although it
            is cold, and the time until which it may; "" for none.
        sends: Number of attempts.
        attempt_at: Time at which the latest attempt began.
        attempt_first_at: Time of that attempt's first event; None before it.
        checks: Checks of targets after its latest failure.
        sent_to: Targets of earlier attempts, on which it may have run.
        rejected_by: Targets that reported that they did not run it.
        rejections: Number of attempts that ended so.
        retry_granted: Whether the next retry is already taken from the budget.
        avoid: Targets that are avoided in further placements.
        abandon: Set when the wait for an answer should end; None if there is
            no such wait, or if the request may run only once.
        relayed_by: Name of the peer that relays it here, "" if it came from
            its caller.
        relayed_to: Name of the peer that it was relayed to last, "" if none.
        run: Whether it has run, as far as is known.
        new_stream: Returns a response that is sent while it is received.
        response: The response, once begun.
        error: The error that ended it; None without one.
        reservation: Name of the memory reserved for it, "" without any.
        first_at: Time of the first event, or of a plain answer.
        last_at: Time of the last event.
        last_event: Id of the last complete event sent to the caller.
        has_unnumbered: Whether the caller has events without an id, so that
            the stream can't be resumed.
        longest_gap_s: Longest gap between events.
        slow: Whether its target decodes slowly.
        answer_body: The body of its plain answer; None without one.
        outcome: Outcome for the log.
        reason: Why it was refused or failed, for the log.
        is_queued: Whether it had to wait for its turn.
        is_over_share: Whether its organisation was over its share while
            capacity was short when it was placed.
        is_copied: Whether a second copy of the current attempt is out.
    """

    def __init__(self, state: IngressState, http: web.BaseRequest, now: float):
        self.state = state
        self.http = http
        self.head = headers.read_head(http.headers)
        self.id = self.head.id or state.next_name()
        self.arrived = now
        left_s = self.head.time_left_s
        self.deadline = now + (
            _DEFAULT_TIME_LIMIT_S if left_s is None else left_s
        )
        self.limit: deadline.Deadline | None = None
        self.route: routing.Route | None = None
        self.service = ""
        self.shard: shards.Shard | None = None
        self.organisation = ""
        self.priority = 0
        self.data_centres: frozenset[str] | None = None
        self.body = b""
        self.digest = b""
        self.parts: frozenset[bytes] | None = None
        self.quarantined_as = b""
        self.trial: tuple[str, tuple[bytes, ...]] = ("", ())
        self.table_version = 0
        self.plan: plans.Plan | None = None
        self.placed_at = now
        self.cold_grant: tuple[str, float] = ("", now)
        self.sends = 0
        self.attempt_at = now
        self.attempt_first_at: float | None = None
        self.checks: set[asyncio.Task] = set()
        self.sent_to: set[str] = set()
        self.rejected_by: set[str] = set()
        self.rejections = 0
        self.retry_granted = False
        self.avoid: set[str] = set()
        self.abandon: asyncio.Future | None = None
        self.relayed_by = ""
        self.relayed_to = ""
        self.run = exception.Run.NOT_RUN
        self.new_stream: Callable = web.StreamResponse
        self.response: web.StreamResponse | None = None
        self.error: exception.CopperloomError | None = None
        self.first_at: float | None = None
        self.last_at = now
        self.reservation = ""
        self.last_event = self.head.last_event_id
        self.has_unnumbered = False
        self.longest_gap_s = 0.0
        self.slow = False
        self.answer_body: answer_limits.Body | None = None
        self.outcome = ""
        self.reason = ""
        self.is_queued = False
        self.is_over_share = False
        self.is_copied = False


def content_digest(ex: Exchange) -> bytes:
    """Returns the identity that repeats of the request share.

    The body must have been read. The digest is computed on first use, since
    most requests never need it.
    """
    if not ex.digest:
        ex.digest = request_digest.request_digest(
            ex.http.method,
            ex.http.headers.get(hdrs.HOST, ""),
            ex.http.raw_path,
            ex.organisation,
            ex.body,
        )
    return ex.digest


def closes_connection(ex: Exchange, now: float) -> bool:
    """Returns whether the caller's connection ends with the response.

    The caller then reconnects, to an instance with less load or before this one
    has stopped.
    """
    is_shedding = load_shedding.is_shedding(ex.state.shed_at, now)
    return ex.state.draining or is_shedding


def may_lead(ex: Exchange) -> tuple[str, ...] | None:
    """Returns the targets that may be the lead engine; None allows all.

    If the route allows no further target, the request may still be sent again
    to an earlier one, in case a helper engine caused the last failure.
    """
    if len(ex.sent_to) < ex.route.max_attempts:
        return None
    return tuple(ex.sent_to)


def prompt_parts(ex: Exchange) -> tuple[str, ...]:
    """Returns the ids of the parts of its prompt that others may share."""
    return headers.read_prompt_parts(ex.http.headers)


def part_digests(ex: Exchange) -> frozenset[bytes]:
    """Returns the digests of these parts, computed on first use."""
    if ex.parts is None:
        ex.parts = frozenset(map(request_digest.part_digest, prompt_parts(ex)))
    return ex.parts


def engine(ex: Exchange) -> routing.EngineSpec | None:
    """Returns the engine parameters of the service; None if it is plain."""
    spec = ex.state.table.services.get(ex.service)
    return spec.engine if spec is not None else None


Next = Callable[[Exchange], Awaitable[None]]
Filter = Callable[[Exchange, Next], Awaitable[None]]
