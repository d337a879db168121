"""The platform's services over HTTP, as described in docs/PROTOCOLS.md.

Errors distinguish whether a write may have taken effect, because the safe use
of conditional writes depends on it: only a connection that was never
established, or status 429 or 503, proves that it did not.
"""

import urllib.parse

import aiohttp
import msgspec
import prometheus_client
import yarl

from copperloom import exception
from copperloom.platform import interface
from copperloom.utils import bounded_read, malformed, response_protocol

__all__ = ["CALLS", "FAILURES", "connect"]

# Not registered here: each entry adds them to its own registry. Entries in the
# same process share these counters.
CALLS = prometheus_client.Counter(
    "copperloom_platform_calls",
    "Calls to the platform's service.",
    ["call"],
    registry=None,
)
FAILURES = prometheus_client.Counter(
    "copperloom_platform_failures",
    "Calls to the platform's service that failed, by result code.",
    ["call", "code"],
    registry=None,
)
_OK = 200
_NOT_FOUND = 404
_TOO_MANY = 429
_UNAVAILABLE = 503
_DEFAULT_RETRY_S = 1.0
_SCAN_LIMIT = 1000
# A snapshot of a whole configuration is the largest object.
_MAX_ANSWER_BYTES = 64_000_000


class _Transact(msgspec.Struct):
    committed: bool
    conflicts: tuple[interface.Row, ...] = ()


class _Scan(msgspec.Struct):
    rows: list[interface.Row]


class _Instances(msgspec.Struct):
    instances: list[interface.InstanceRow]


class _RateLimited(msgspec.Struct):
    retry_after_s: float = _DEFAULT_RETRY_S


class _Client:
    """The HTTP session of one platform address."""

    def __init__(self, address: str):
        self.address = address
        self.session: aiohttp.ClientSession | None = None
        self.closed = False

    def open(self) -> aiohttp.ClientSession:
        """Returns the session, creating it on first use in the event loop."""
        if self.closed:
            raise exception.PlatformDownError("the platform client is closed")
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=response_protocol.make_connector(
                    response_protocol.ResponseProtocol
                )
            )
        return self.session


def connect(address: str) -> interface.Platform:
    """Returns the functions of the platform at an address.

    Connections are established on first use and kept open.

    Args:
        address: IP:port.
    """
    client = _Client(address)
    bound = {
        name: _bind(function, client) for name, function in _FUNCTIONS.items()
    }
    return interface.Platform(**bound)


def _bind(function, client):
    async def call(*args, **kwargs):
        return await function(client, *args, **kwargs)

    call.__name__ = function.__name__
    return call


async def _transact(client, conditions, writes, *, timeout_s):
    body = msgspec.json.encode(
        {"conditions": list(conditions), "writes": list(writes)}
    )
    raw = await _write(
        client, "transact", "POST", "/table/transact", body, timeout_s
    )
    # After a malformed response the outcome of the write is unknown.
    result = _decode(raw, _Transact, exception.PlatformUnknownError)
    return interface.TransactResult(result.committed, result.conflicts)


async def _read(client, key, *, timeout_s):
    path = "/table/row?" + urllib.parse.urlencode({"key": key})
    raw = await _fetch(client, "read", path, timeout_s)
    return _decode(raw, interface.Row, exception.PlatformDownError)


async def _scan(client, prefix, *, after="", limit=_SCAN_LIMIT, timeout_s):
    query = {"prefix": prefix, "after": after, "limit": limit}
    path = "/table/scan?" + urllib.parse.urlencode(query)
    raw = await _fetch(client, "scan", path, timeout_s)
    return _decode(raw, _Scan, exception.PlatformDownError).rows


async def _get_object(client, name, *, timeout_s):
    return await _fetch(client, "get_object", _object_path(name), timeout_s)


async def _put_object(client, name, data, *, timeout_s):
    path = _object_path(name)
    await _write(client, "put_object", "PUT", path, data, timeout_s)


async def _instances(client, *, timeout_s):
    raw = await _fetch(client, "instances", "/instances", timeout_s)
    return _decode(raw, _Instances, exception.PlatformDownError).instances


async def _announce(client, row, *, timeout_s):
    path = "/instances/" + urllib.parse.quote(row.name, safe="")
    body = msgspec.json.encode(row)
    await _write(client, "announce", "PUT", path, body, timeout_s)


async def _acquire_weights(client, count, *, timeout_s):
    body = msgspec.json.encode({"count": count})
    await _write(client, "weights", "POST", "/weights", body, timeout_s)


async def _close(client):
    client.closed = True
    if client.session is not None:
        await client.session.close()


_FUNCTIONS = {
    "transact": _transact,
    "read": _read,
    "scan": _scan,
    "get_object": _get_object,
    "put_object": _put_object,
    "instances": _instances,
    "announce": _announce,
    "acquire_weights": _acquire_weights,
    "close": _close,
}


def _object_path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name, safe="")


async def _fetch(client, call, path, timeout_s) -> bytes | None:
    """Reads; any failure is without effect. Returns None for status 404."""
    return await _request(
        client, call, "GET", path, None, timeout_s, exception.PlatformDownError
    )


async def _write(client, call, method, path, body, timeout_s) -> bytes:
    """Writes; after a failure on an open connection the outcome is unknown."""
    return await _request(
        client,
        call,
        method,
        path,
        body,
        timeout_s,
        exception.PlatformUnknownError,
    )


async def _request(client, call, method, path, body, timeout_s, error_class):
    CALLS.labels(call).inc()
    try:
        return await _send(client, method, path, body, timeout_s, error_class)
    except exception.CopperloomError as error:
        FAILURES.labels(call, error.code).inc()
        raise


async def _send(client, method, path, body, timeout_s, error_class):
    url = yarl.URL(f"http://{client.address}{path}", encoded=True)
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=timeout_s / 2)
    try:
        async with client.open().request(
            method, url, data=body, timeout=timeout
        ) as reply:
            raw = await bounded_read.read(reply, _MAX_ANSWER_BYTES)
            is_truncated = response_protocol.is_truncated(reply)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        # No byte of the request was sent.
        raise exception.PlatformDownError(str(error)) from error
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise error_class(f"{method} {path}: {type(error).__name__}") from error
    if is_truncated:
        raise error_class(f"{method} {path}: answer is truncated")
    return _check(reply.status, raw, f"{method} {path}", error_class)


def _check(status: int, raw: bytes, what: str, error_class) -> bytes | None:
    if status == _OK:
        return raw
    if status == _NOT_FOUND:
        return None
    if status == _TOO_MANY:
        after_s = _retry_after(raw)
        raise exception.RateLimitedError(what, retry_after_s=after_s)
    if status == _UNAVAILABLE:
        raise exception.PlatformDownError(f"{what}: {status}")
    raise error_class(f"{what}: {status}")


def _retry_after(raw: bytes) -> float:
    try:
        return msgspec.json.decode(raw, type=_RateLimited).retry_after_s
    except malformed.ERRORS:
        return _DEFAULT_RETRY_S


def _decode(raw, kind, error_class):
    try:
        return msgspec.json.decode(raw or b"", type=kind)
    except malformed.ERRORS as error:
        raise error_class(f"malformed response: {error}") from error
