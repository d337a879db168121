"""An open-loop HTTP client of the callers' interface.

It sends each request at its planned time regardless of the others, reads the
streamed answer, and checks that it is complete and belongs to the request.
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
_MESSAGES_HEAD = b'[{"role":"user","content":"'
_MESSAGES_TAIL = b'"}]'


# Returns the expected answer for a request and its raw messages. Real engines
# have no such function, since their answers are not known in advance.
Expected = Callable[[arrivals.Arrival, bytes], str]


async def run(
    mix: mixes.LoadSettings,
    requests: list[arrivals.Arrival],
    entries: list[str],
    *,
    expected: Expected | None = None,
) -> list[result.Sample]:
    """Sends requests at their planned times, to the entries in turn.

    Args:
        mix: The mix.
        requests: The requests to send, in order of arrival.
        entries: Addresses of entries; round robin stands for a load balancer
            that distributes connections evenly.
        expected: Returns the expected answer; if None, any complete answer
            is accepted.

    Returns:
        One sample for each request. Its outcome is LOST if there was none
        within the time limit and the mix's grace period.
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
            sending = send(
                session,
                mix,
                _with_unique_key(arrival, tag),
                entry,
                filler,
                planned,
                expected=expected,
            )
            tasks.append(asyncio.create_task(sending))
        return list(await asyncio.gather(*tasks))


def _with_unique_key(arrival: arrivals.Arrival, tag: str) -> arrivals.Arrival:
    """Returns the request with an idempotency key unique to this run.

    Otherwise entries would answer a second run of the same seed from the
    records of the first.
    """
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
    """Sends one request and returns its outcome.

    Args:
        session: The HTTP client.
        mix: The mix.
        arrival: The request.
        entry: The entry's address.
        filler: Text that fills the prompt up to its length.
        planned: Monotonic time of the planned arrival, from which all times
            of the sample count.
        expected: Returns the expected answer; if None, any complete answer
            is accepted.
    """
    delay_s = mix.network.client_ms * _MS
    await asyncio.sleep(delay_s)
    timeout_s = mix.load.time_limit_s + mix.load.grace_s
    exchange = _Exchange(mix, arrival, entry, planned, delay_s)
    try:
        async with asyncio.timeout(timeout_s):
            if arrival.group == arrivals.SERVICE:
                return await _call_service(session, exchange)
            return await _call_engine(session, exchange, filler, expected)
    except TimeoutError:
        return exchange.sample(
            result.LOST, problem="no outcome within time limit and grace"
        )
    except (aiohttp.ClientError, OSError) as error:
        return exchange.sample(result.LOST, problem=repr(error))
    except msgspec.MsgspecError as error:
        return exchange.sample(result.WRONG, problem=repr(error))


class _Exchange:
    """A request in flight, which builds its sample."""

    def __init__(self, mix, arrival, entry, planned, delay_s):
        self.mix = mix
        self.arrival = arrival
        self.entry = entry
        self.planned = planned
        self.delay_s = delay_s
        self.request = ""

    def headers(self) -> dict[str, str]:
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

    def elapsed_s(self, event_at: float) -> float:
        """Returns the seconds from the planned arrival to an event.

        The network delay from the entry to the caller is added.
        """
        return event_at - self.planned + self.delay_s

    def sample(self, code: int, **values) -> result.Sample:
        """Returns the sample of an outcome that occurs now."""
        values.setdefault("total_s", self.elapsed_s(time.monotonic()))
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
            return _refusal_sample(exchange, data)
        first_s = exchange.elapsed_s(time.monotonic())
        return exchange.sample(result.OK, first_s=first_s, total_s=first_s)


async def _call_engine(
    session: aiohttp.ClientSession,
    exchange: _Exchange,
    filler: bytes,
    expected: Expected | None,
) -> result.Sample:
    url = f"http://{exchange.entry}/v1/chat/completions"
    messages = _messages(exchange.mix, exchange.arrival, filler)
    expected_text = expected(exchange.arrival, messages) if expected else None
    body = _body(exchange.mix, exchange.arrival, messages)
    async with session.post(
        url, data=body, headers=exchange.headers()
    ) as response:
        exchange.request = response.headers.get("X-Copperloom-Request", "")
        if response.status >= 400:
            return _refusal_sample(exchange, await response.read())
        answer = sse.Answer()
        await sse.read(response, answer)
    return _check_answer(exchange, answer, expected_text)


def _refusal_sample(exchange: _Exchange, data: bytes) -> result.Sample:
    error = sse.decode_error(data)
    return _error_sample(exchange, error)


def _error_sample(
    exchange: _Exchange, error: sse.Error, **values
) -> result.Sample:
    if error.code <= 0 or error.run not in set(exception.Run):
        return exchange.sample(result.LOST, problem=f"malformed error: {error}")
    return exchange.sample(
        error.code, run=error.run, problem=error.message, **values
    )


def _check_answer(
    exchange: _Exchange, answer: sse.Answer, expected_text: str | None
) -> result.Sample:
    first_s = exchange.elapsed_s(answer.first_at) if answer.first_at else 0.0
    values = {"first_s": first_s, "gap_s": answer.gap_s}
    if answer.error is not None:
        return _error_sample(exchange, answer.error, **values)
    if not answer.done or not answer.finish_reason:
        problem = "the answer ended early without an error code"
        return exchange.sample(result.LOST, problem=problem, **values)
    problem = _find_problem(answer, expected_text)
    code = result.WRONG if problem else result.OK
    return exchange.sample(code, problem=problem, **values)


def _find_problem(answer: sse.Answer, expected_text: str | None) -> str:
    text = "".join(answer.pieces)
    if len(answer.ids) > 1:
        return "chunks with the ids of several answers"
    if not text:
        return "empty answer"
    if expected_text is not None and text != expected_text:
        return f"{text[:40]!r}... instead of {expected_text[:40]!r}..."
    return ""


def _filler(mix: mixes.LoadSettings, requests: list[arrivals.Arrival]) -> bytes:
    longest = max((a.prompt_tokens for a in requests), default=0)
    size = int(longest * mix.load.bytes_per_token) + 1
    return (_FILLER_WORD * (size // len(_FILLER_WORD) + 1))[:size]


def _messages(
    mix: mixes.LoadSettings, arrival: arrivals.Arrival, filler: bytes
) -> bytes:
    """Returns the raw JSON of messages that have the prompt's length."""
    opening = b""
    if arrival.prefix >= 0:
        unit = f"{arrival.organisation} start {arrival.prefix} ".encode()
        length = int(mix.load.prefix_tokens * mix.load.bytes_per_token)
        opening = (unit * (length // len(unit) + 1))[:length]
    opening += f"request {arrival.index} ".encode()
    size = int(arrival.prompt_tokens * mix.load.bytes_per_token)
    filling = filler[
        : max(
            0, size - len(opening) - len(_MESSAGES_HEAD) - len(_MESSAGES_TAIL)
        )
    ]
    return b"".join((_MESSAGES_HEAD, opening, filling, _MESSAGES_TAIL))


def _body(
    mix: mixes.LoadSettings, arrival: arrivals.Arrival, messages: bytes
) -> bytes:
    head = (
        f'{{"model":"{mix.load.deployment}","stream":true,'
        f'"max_tokens":{arrival.answer_tokens},"messages":'
    )
    return b"".join((head.encode(), messages, b"}"))
