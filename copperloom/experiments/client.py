"""An open-loop client of the callers' interface.

It sends each request at its planned time whatever became of the others, reads
the answer piece by piece, and checks that it is whole and the caller's own.
"""

import asyncio
import dataclasses
import secrets
import time
from collections.abc import Callable

import aiohttp
import msgspec

from copperloom import exception
from copperloom.experiments import arrivals, mixes, result, sse

__all__ = ["Expected", "run", "send"]

_FILLER_WORD = b"lounge "
_MS = 1e-3
_TAG_BYTES = 4
_HEAD = b'[{"role":"user","content":"'
_TAIL = b'"}]'


# Gives the whole answer to expect for a request and its raw messages; None
# where answers can't be known beforehand, as with real engines.
Expected = Callable[[arrivals.Arrival, bytes], str]


async def run(
    mix: mixes.LoadSettings,
    requests: list[arrivals.Arrival],
    entries: list[str],
    *,
    expected: Expected | None = None,
) -> list[result.Sample]:
    """Sends requests at their times, to the entries in turn.

    Args:
        mix: The mix.
        requests: What to send.
        entries: Addresses of entries; the platform's balancer is taken to
            deal connections out evenly.
        expected: Gives the answer to expect; None takes any that ended well.

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
        tag = secrets.token_hex(_TAG_BYTES)
        tasks = []
        for arrival in requests:
            planned = start + arrival.at_s
            await asyncio.sleep(planned - time.monotonic())
            entry = entries[arrival.index % len(entries)]
            one = send(
                session,
                mix,
                _tagged(arrival, tag),
                entry,
                filler,
                planned,
                expected=expected,
            )
            tasks.append(asyncio.create_task(one))
        return list(await asyncio.gather(*tasks))


def _tagged(arrival: arrivals.Arrival, tag: str) -> arrivals.Arrival:
    """Makes the key one of this run: another run of the seed is no repeat."""
    if not arrival.key:
        return arrival
    return dataclasses.replace(arrival, key=f"{arrival.key}-{tag}")


async def send(
    session: aiohttp.ClientSession,
    mix: mixes.LoadSettings,
    arrival: arrivals.Arrival,
    entry: str,
    filler: bytes,
    planned: float,
    *,
    expected: Expected | None = None,
) -> result.Sample:
    """Sends one request and returns what became of it.

    Args:
        session: The HTTP client.
        mix: The mix.
        arrival: The request.
        entry: The entry's address.
        filler: Text to cut the prompt from.
        planned: Monotonic time that its times count from.
        expected: Gives the answer to expect; None takes any that ended well.
    """
    delay_s = mix.network.client_ms * _MS
    await asyncio.sleep(delay_s)
    limit_s = mix.load.time_limit_s + mix.load.grace_s
    exchange = _Exchange(mix, arrival, entry, planned, delay_s)
    try:
        async with asyncio.timeout(limit_s):
            if arrival.group == arrivals.SERVICE:
                return await _call_service(session, exchange)
            return await _ask_engine(session, exchange, filler, expected)
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
    expected: Expected | None,
) -> result.Sample:
    url = f"http://{exchange.entry}/v1/chat/completions"
    messages = _messages(exchange.mix, exchange.arrival, filler)
    wanted = expected(exchange.arrival, messages) if expected else None
    body = _body(exchange.mix, exchange.arrival, messages)
    async with session.post(
        url, data=body, headers=exchange.headers()
    ) as response:
        exchange.request = response.headers.get("X-Copperloom-Request", "")
        if response.status >= 400:
            return _refused(exchange, await response.read())
        got = sse.Answer()
        await sse.read(response, got)
    return _judge(exchange, got, wanted)


def _refused(exchange: _Exchange, data: bytes) -> result.Sample:
    error = sse.decode_error(data)
    return _error_sample(exchange, error)


def _error_sample(
    exchange: _Exchange, error: sse.Error, **values
) -> result.Sample:
    if error.code <= 0 or error.run not in set(exception.Run):
        return exchange.sample(result.LOST, problem=f"bad error {error}")
    return exchange.sample(
        error.code, run=error.run, problem=error.message, **values
    )


def _judge(
    exchange: _Exchange, answer: sse.Answer, wanted: str | None
) -> result.Sample:
    first_s = exchange.since(answer.first) if answer.first else 0.0
    values = {"first_s": first_s, "gap_s": answer.gap_s}
    if answer.error is not None:
        return _error_sample(exchange, answer.error, **values)
    if not answer.done or not answer.finish:
        problem = "the answer broke off without a code"
        return exchange.sample(result.LOST, problem=problem, **values)
    problem = _problem(answer, wanted)
    code = result.WRONG if problem else result.OK
    return exchange.sample(code, problem=problem, **values)


def _problem(answer: sse.Answer, wanted: str | None) -> str:
    text = "".join(answer.text)
    if len(answer.ids) > 1:
        return "chunks of several answers"
    if not text:
        return "empty answer"
    if wanted is not None and text != wanted:
        return f"{text[:40]!r}... in place of {wanted[:40]!r}..."
    return ""


def _filler(mix: mixes.LoadSettings, requests: list[arrivals.Arrival]) -> bytes:
    longest = max((a.prompt_tokens for a in requests), default=0)
    size = int(longest * mix.load.bytes_per_token) + 1
    return (_FILLER_WORD * (size // len(_FILLER_WORD) + 1))[:size]


def _messages(
    mix: mixes.LoadSettings, arrival: arrivals.Arrival, filler: bytes
) -> bytes:
    """Returns the raw messages of a prompt of the wanted length."""
    start = b""
    if arrival.prefix >= 0:
        mark = f"{arrival.organisation} start {arrival.prefix} ".encode()
        length = int(mix.load.prefix_tokens * mix.load.bytes_per_token)
        start = (mark * (length // len(mark) + 1))[:length]
    start += f"request {arrival.index} ".encode()
    size = int(arrival.prompt_tokens * mix.load.bytes_per_token)
    rest = filler[: max(0, size - len(start) - len(_HEAD) - len(_TAIL))]
    return b"".join((_HEAD, start, rest, _TAIL))


def _body(
    mix: mixes.LoadSettings, arrival: arrivals.Arrival, messages: bytes
) -> bytes:
    head = (
        f'{{"model":"{mix.load.deployment}","stream":true,'
        f'"max_tokens":{arrival.answer_tokens},"messages":'
    )
    return b"".join((head.encode(), messages, b"}"))
