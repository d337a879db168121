"""One caller's request on its way through the filters."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from copperloom import configuration, exception, messages
from copperloom.daemons.state import EntryState

__all__ = ["Exchange", "Filter", "Next"]


class Exchange:
    """What the filters learn about one request.

    Attributes:
        state: The entry's state.
        http: The caller's HTTP request.
        id: Request id, unique over all instances and boots.
        arrived: Monotonic seconds when it came.
        deadline: Monotonic seconds by which it must have its outcome.
        cfg: The configuration that it was admitted under.
        organisation: Whose request it is.
        deployment: What it is for.
        body: The raw body.
        chat: The decoded chat request, None for a service call.
        request: What the decisions need of it.
        response: The HTTP response, once it is begun or finished.
        limit: The timer of the deadline, once it runs.
        stream_path: TARGET/STREAM under which a caller may resume.
        run: What may be believed of its run so far.
        first_token_at: Monotonic seconds of the first token.
        tokens: Answer tokens relayed so far.
        placement: Where it was placed last.
        record: Its idempotency record, if it has one.
        kept: The answer as far as it is kept for the record.
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
        self.limit = None
        self.stream_path = ""
        self.run = exception.Run.NOT_RUN
        self.first_token_at: float | None = None
        self.tokens = 0
        self.placement: messages.Placement | None = None
        self.record = None
        self.kept = None


Next = Callable[[Exchange], Awaitable[None]]
Filter = Callable[[Exchange, Next], Awaitable[None]]
