"""Calls to entries, with failover from one entry to the next."""

import contextlib
import dataclasses

import aiohttp
import msgspec

from copperloom import exception
from copperloom.cli import edits

__all__ = ["Client", "change", "drain", "get", "open_client"]

_TIMEOUT_S = 10.0
# Covers the write to the platform; the wait until the change is in force is
# added.
_CHANGE_TIMEOUT_S = 15.0
_OK = 200
# Errors that another entry may avoid, because it reaches the platform or more
# members, or can determine whether a change was applied.
_TRY_NEXT = frozenset(
    cls.code
    for cls in (
        exception.ChangeUnknownError,
        exception.DrainingError,
        exception.PlatformDownError,
        exception.PlatformUnknownError,
        exception.RateLimitedError,
        exception.StaleConfigurationError,
    )
)
_ERRORS = {
    cls.code: cls
    for cls in vars(exception).values()
    if isinstance(cls, type) and issubclass(cls, exception.CopperloomError)
}


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """A client of some entries.

    Attributes:
        session: HTTP session that sends the operator token.
        addresses: IP:port of the entries, in the order in which to try them.
    """

    session: aiohttp.ClientSession
    addresses: tuple[str, ...]


@contextlib.asynccontextmanager
async def open_client(addresses: list[str], token: str):
    """Opens a client of the entries at some addresses."""
    headers = {"Authorization": f"Bearer {token}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        yield Client(session, tuple(addresses))


async def get(client: Client, path: str) -> dict:
    """Reads a path from the first entry that responds."""
    return await _call_in_turn(client, "GET", path, None, _TIMEOUT_S)


async def drain(client: Client) -> dict:
    """Drains the entry of a client that has exactly one."""
    if len(client.addresses) != 1:
        raise exception.SettingsError("drain requires exactly one --entry")
    return await _call_in_turn(client, "POST", "drain", None, _TIMEOUT_S)


async def change(client: Client, request: edits.ChangeRequest) -> dict:
    """Applies a change through the first entry that can.

    If an entry fails during the call, the outcome is unknown. The next entry
    receives the same nonce and version, so it either applies the change or
    detects that it was applied.
    """
    body = msgspec.json.encode(request)
    timeout_s = _CHANGE_TIMEOUT_S + request.wait_s
    return await _call_in_turn(client, "POST", "changes", body, timeout_s)


async def _call_in_turn(client, method, path, body, timeout_s) -> dict:
    """Calls the entries in turn until one gives a final response.

    Raises:
        copperloom.exception.ChangeUnknownError: A change was sent, and no
            entry could determine whether it was applied.
        copperloom.exception.CopperloomError: The error of an entry.
    """
    unknown_outcome = None
    last_error = None
    for address in client.addresses:
        try:
            return await _call(client, address, method, path, body, timeout_s)
        except exception.CopperloomError as error:
            if error.code not in _TRY_NEXT:
                _raise_final(error, unknown_outcome)
            last_error = error
            if error.run is exception.Run.MAY_HAVE_RUN:
                unknown_outcome = error
    # A failure without effect at one entry doesn't settle what an earlier
    # entry may have done.
    raise unknown_outcome or last_error


def _raise_final(error: exception.CopperloomError, unknown_outcome) -> None:
    """Raises a final error, unless an earlier outcome is still unknown.

    A lost race settles the outcome of an earlier call. Other errors, such as a
    rejected token, do not.
    """
    if unknown_outcome is None or isinstance(error, exception.ChangeLostError):
        raise error
    raise unknown_outcome


async def _call(client, address, method, path, body, timeout_s) -> dict:
    url = f"http://{address}/admin/v1/{path}"
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=_TIMEOUT_S)
    try:
        async with client.session.request(
            method, url, data=body, timeout=timeout
        ) as reply:
            raw = await reply.read()
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
        aiohttp.InvalidURL,
    ) as error:
        raise exception.PlatformDownError(f"{address}: {error}") from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        text = f"{address}: {type(error).__name__}, no response"
        if body is None:
            raise exception.PlatformDownError(text) from error
        raise exception.ChangeUnknownError(text) from error
    return _decode(address, reply.status, raw)


def _decode(address: str, status: int, raw: bytes) -> dict:
    try:
        value = msgspec.json.decode(raw)
    except msgspec.MsgspecError:
        value = {}
    if status == _OK:
        return value
    cls = _ERRORS.get(value.get("code"), exception.CopperloomError)
    raise cls(
        f"{address}: {value.get('error', f'status {status}')}",
        retry_after_s=value.get("retry_after_s"),
    )
