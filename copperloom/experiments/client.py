"""An open-loop client of the callers' interface.

It sends each request at its planned time whatever became of the others, reads
the answer piece by piece, and checks that it is whole and the caller's own.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import aiohttp
import msgspec

from copperloom import exception
from copperloom.experiments import arrivals, result
from copperloom.experiments import mix as mixes

__all__ = ["Answer", "Check", "accept_any", "run", "send"]

_FILLER_WORD = b"lounge "
_DATA = b"data: "
_DONE = b"[DONE]"
_MS = 1e-3


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer as it comes in.

    Attributes:
        text: Pieces of text.
        ids: The ids that its chunks named.
        finish: Why it ended; "" until then.
        done: Whether the closing event came.
        error: A coded error that came within the stream.
        first: Monotonic time of the first piece; 0 until then.
        last: Monotonic time of the last piece.
        gap_s: Longest time between two pieces.
    """

    text: list[str] = dataclasses.field(default_factory=list)
    ids: set[str] = dataclasses.field(default_factory=set)
    finish: str = ""
    done: bool = False
    error: "_Error | None" = None
    first: float = 0.0
    last: float = 0.0
    gap_s: float = 0.0


# Tells what is wrong with an answer's text, "" if nothing.
Check = Callable[[arrivals.Arrival, str], str]


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Error(msgspec.Struct):
    code: int = 0
    message: str = ""
    run: str = ""


class _Chunk(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []
    error: _Error | None = None


class _ErrorBody(msgspec.Struct):
    error: _Error


_CHUNKS = msgspec.json.Decoder(_Chunk)
_ERRORS = msgspec.json.Decoder(_ErrorBody)


def accept_any(arrival: arrivals.Arrival, text: str) -> str:
    """Finds nothing wrong with any text that is not empty."""
    return "" if text else "empty answer"


async def run(
    mix: mixes.LoadSettings,
    requests: list[arrivals.Arrival],
    entries: list[str],
    *,
    check: Check = accept_any,
) -> list[result.Sample]:
    """Sends requests at their times, to the entries in turn.

    Args:
        mix: The mix.
        requests: What to send.
        entries: Addresses of entries; the platform's balancer is taken to
            deal connections out evenly.
        check: Tells what is wrong with an answer's text.

    Returns:
        One sample for each request; each has an outcome within its time
        limit and the mix's grace, LOST if there was none.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    filler = _filler(mix, requests)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        start = time.monotonic()
        tasks = []
        for arrival in requests:
            planned = start + arrival.at_s
            await asyncio.sleep(planned - time.monotonic())
            entry = entries[arrival.index % len(entries)]
            one = send(
                session, mix, arrival, entry, filler, planned, check=check
            )
            tasks.append(asyncio.create_task(one))
        return list(await asyncio.gather(*tasks))


async def send(
    session: aiohttp.ClientSession,
    mix: mixes.LoadSettings,
    arrival: arrivals.Arrival,
    entry: str,
    filler: bytes,
    planned: float,
    *,
    check: Check = accept_any,
) -> result.Sample:
    """Sends one request and returns what became of it.

    Args:
        session: The HTTP client.
        mix: The mix.
        arrival: The request.
        entry: The entry's address.
        filler: Text to cut the prompt from.
        planned: Monotonic time that its times count from.
        check: Tells what is wrong with the answer's text.
    """
    delay_s = mix.network.client_ms * _MS
    await asyncio.sleep(delay_s)
    limit_s = mix.load.time_limit_s + mix.load.grace_s
    exchange = _Exchange(mix, arrival, entry, planned, delay_s)
    try:
        async with asyncio.timeout(limit_s):
            if arrival.group == arrivals.SERVICE:
                return await _call_service(session, exchange)
            return await _ask_engine(session, exchange, filler, check)
    except TimeoutError:
        return exchange.sample(result.LOST, problem="no outcome in time")
    except (aiohttp.ClientError, OSError) as error:
        return exchange.sample(result.LOST, problem=repr(error))
    except msgspec.MsgspecError as error:
        return exchange.sample(result.WRONG, problem=repr(error))


class _Exchange:
    """One request on its way, for filling in its sample."""

    def __init__(self, mix, arrival, entry, planned, delay_s):
        self.mix = mix
        self.arrival = arrival
        self.entry = entry
        self.planned = planned
        self.delay_s = delay_s
        self.request = ""

    def headers(self) -> dict[str, str]:
        """Returns the request's headers."""
        token = mixes.organisation_token(self.arrival.organisation)
        headers = {
            "Authorization": f"Bearer {token}",
            "X-Copperloom-Time-Limit": f"{self.mix.load.time_limit_s:g}",
            "Content-Type": "application/json",
        }
        if self.arrival.key:
            headers["Idempotency-Key"] = self.arrival.key
            headers["X-Copperloom-Not-Repeatable"] = "true"
        return headers

    def since(self, moment: float) -> float:
        """Returns the caller's time from the planned arrival to a moment."""
        return moment - self.planned + self.delay_s

    def sample(self, code: int, **values) -> result.Sample:
        """Returns the sample with the outcome at the present moment."""
        values.setdefault("total_s", self.since(time.monotonic()))
        return result.Sample(
            self.arrival.index,
            self.arrival.group,
            self.arrival.organisation,
            self.arrival.prompt_tokens,
            self.arrival.answer_tokens,
            code,
            request=self.request,
            entry=self.entry,
            **values,
        )


async def _call_service(
    session: aiohttp.ClientSession, exchange: _Exchange
) -> result.Sample:
    name = exchange.mix.services.name
    url = f"http://{exchange.entry}/v1/services/{name}/check"
    body = f'{{"index": {exchange.arrival.index}}}'.encode()
    async with session.post(
        url, data=body, headers=exchange.headers()
    ) as response:
        exchange.request = response.headers.get("X-Copperloom-Request", "")
        data = await response.read()
        if response.status >= 400:
            return _refused(exchange, data)
        first_s = exchange.since(time.monotonic())
        return exchange.sample(result.OK, first_s=first_s, total_s=first_s)


async def _ask_engine(
    session: aiohttp.ClientSession,
    exchange: _Exchange,
    filler: bytes,
    check: Check,
) -> result.Sample:
    url = f"http://{exchange.entry}/v1/chat/completions"
    body = _body(exchange.mix, exchange.arrival, filler)
    async with session.post(
        url, data=body, headers=exchange.headers()
    ) as response:
        exchange.request = response.headers.get("X-Copperloom-Request", "")
        if response.status >= 400:
            return _refused(exchange, await response.read())
        answer = Answer()
        await _read(response, answer)
    return _judge(exchange, answer, check)


def _refused(exchange: _Exchange, data: bytes) -> result.Sample:
    error = _ERRORS.decode(data).error
    return _error_sample(exchange, error)


def _error_sample(
    exchange: _Exchange, error: _Error, **values
) -> result.Sample:
    if error.code <= 0 or error.run not in set(exception.Run):
        return exchange.sample(result.LOST, problem=f"bad error {error}")
    return exchange.sample(
        error.code, run=error.run, problem=error.message, **values
    )


async def _read(response: aiohttp.ClientResponse, answer: Answer) -> None:
    rest = b""
    async for data in response.content.iter_any():
        now = time.monotonic()
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            _take_line(answer, line, now)


def _take_line(answer: Answer, line: bytes, now: float) -> None:
    if not line.startswith(_DATA):
        return
    value = line[len(_DATA) :].strip()
    if value == _DONE:
        answer.done = True
        return
    chunk = _CHUNKS.decode(value)
    answer.error = chunk.error or answer.error
    if chunk.id:
        answer.ids.add(chunk.id)
    for choice in chunk.choices:
        _take_choice(answer, choice, now)


def _take_choice(answer: Answer, choice: _Choice, now: float) -> None:
    answer.finish = choice.finish_reason or answer.finish
    if choice.delta is None or not choice.delta.content:
        return
    answer.text.append(choice.delta.content)
    if not answer.first:
        answer.first = now
    else:
        answer.gap_s = max(answer.gap_s, now - answer.last)
    answer.last = now


def _judge(exchange: _Exchange, answer: Answer, check: Check) -> result.Sample:
    first_s = exchange.since(answer.first) if answer.first else 0.0
    values = {"first_s": first_s, "gap_s": answer.gap_s}
    if answer.error is not None:
        return _error_sample(exchange, answer.error, **values)
    if not answer.done or not answer.finish:
        problem = "the answer broke off without a code"
        return exchange.sample(result.LOST, problem=problem, **values)
    problem = check(exchange.arrival, "".join(answer.text))
    if len(answer.ids) > 1:
        problem = "chunks of several answers"
    code = result.WRONG if problem else result.OK
    return exchange.sample(code, problem=problem, **values)


def _filler(mix: mixes.LoadSettings, requests: list[arrivals.Arrival]) -> bytes:
    longest = max((a.prompt_tokens for a in requests), default=0)
    size = int(longest * mix.load.bytes_per_token) + 1
    return (_FILLER_WORD * (size // len(_FILLER_WORD) + 1))[:size]


def _body(
    mix: mixes.LoadSettings, arrival: arrivals.Arrival, filler: bytes
) -> bytes:
    """Returns a chat-completions body of the wanted prompt length."""
    start = b""
    if arrival.prefix >= 0:
        mark = f"{arrival.organisation} start {arrival.prefix} ".encode()
        length = int(mix.load.prefix_tokens * mix.load.bytes_per_token)
        start = (mark * (length // len(mark) + 1))[:length]
    start += f"request {arrival.index} ".encode()
    size = int(arrival.prompt_tokens * mix.load.bytes_per_token)
    rest = filler[: max(0, size - len(start))]
    head = (
        f'{{"model":"{mix.load.deployment}","stream":true,'
        f'"max_tokens":{arrival.answer_tokens},'
        '"messages":[{"role":"user","content":"'
    )
    return b"".join((head.encode(), start, rest, b'"}]}'))
