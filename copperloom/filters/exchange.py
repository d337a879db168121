"""The state of one caller's request as it passes through the filters."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from copperloom import configuration, exception, messages
from copperloom.daemons.state import EntryState

__all__ = ["Exchange", "Filter", "Next"]


class Exchange:
    """The state that the filters build up for one request.

    Attributes:
        state: State of the entry that processes the request.
        http: The caller's HTTP request.
        id: Request id, unique over all instances and boots.
        arrived: Monotonic time of arrival, in seconds.
        deadline: Monotonic time by which the caller must have an outcome, in
            seconds.
        cfg: Configuration under which the request was admitted.
        organisation: Organisation that sent the request.
        deployment: Deployment that the request names.
        body: Raw request body.
        chat: Decoded chat request; None for a service call.
        request: The request as the scheduler sees it.
        response: HTTP response, once it has been started or completed.
        deadline_timer: Timer of the deadline, once it is running.
        stream_path: TARGET/STREAM, the path at which a caller may resume.
        run: Whether the work has run, as far as is known.
        first_token_at: Monotonic time of the first token, in seconds.
        tokens: Answer tokens relayed so far.
        placement: Latest placement.
        record: Claim on the idempotency record, if the request has one.
        stored_answer: Answer to store in the idempotency record.
    """

    def __init__(self, state: EntryState, http: web.Request, now: float):
        self.state = state
        self.http = http
        self.id = state.next_id()
        self.arrived = now
        self.deadline = now + state.settings.limits.max_time_limit_s
        self.cfg = state.cfg
        self.organisation: configuration.Organisation | None = None
        self.deployment: configuration.Deployment | None = None
        self.body = b""
        self.chat = None
        self.request: messages.Request | None = None
        self.response: web.StreamResponse | None = None
        self.deadline_timer = None
        self.stream_path = ""
        self.run = exception.Run.NOT_RUN
        self.first_token_at: float | None = None
        self.tokens = 0
        self.placement: messages.Placement | None = None
        self.record = None
        self.stored_answer = None


Next = Callable[[Exchange], Awaitable[None]]
Filter = Callable[[Exchange, Next], Awaitable[None]]
