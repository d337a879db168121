"""Calls to entries: the next one is asked if one can't answer."""

import contextlib
import dataclasses

import aiohttp
import msgspec

from copperloom import exception
from copperloom.cli import edits

__all__ = ["Client", "change", "drain", "get", "open_client"]

_TIMEOUT_S = 10.0
# A change may take 10 s at the platform, then the wait until it is in force.
_CHANGE_S = 15.0
_OK = 200
# Answers that another entry may not give: it reaches the platform or more of
# the others, or can find out whose change was made.
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
    """Where to call and with which token."""

    session: aiohttp.ClientSession
    addresses: tuple[str, ...]


@contextlib.asynccontextmanager
async def open_client(addresses: list[str], token: str):
    """Opens a client of some entries."""
    headers = {"Authorization": f"Bearer {token}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        yield Client(session, tuple(addresses))


async def get(client: Client, path: str) -> dict:
    """Reads from the first entry that answers."""
    return await _first(client, "GET", path, None, _TIMEOUT_S)


async def drain(client: Client) -> dict:
    """Drains the one entry given."""
    if len(client.addresses) != 1:
        raise exception.SettingsError("drain takes just one --entry")
    return await _first(client, "POST", "drain", None, _TIMEOUT_S)


async def change(client: Client, asked: edits.Asked) -> dict:
    """Makes a change through the first entry that can.

    An entry that dies or loses the answer leaves the outcome open; the next
    one gets the same nonce on the same version, and so either makes the
    change or finds that it was made.
    """
    body = msgspec.json.encode(asked)
    limit_s = _CHANGE_S + asked.wait_s
    return await _first(client, "POST", "changes", body, limit_s)


async def _first(client, method, path, body, limit_s) -> dict:
    """Asks one entry after the other.

    Raises:
        copperloom.exception.ChangeUnknownError: A change was sent, and no
            entry could tell what became of it.
        copperloom.exception.CopperloomError: As the entry said.
    """
    unknown = None
    failed = None
    for address in client.addresses:
        try:
            return await _ask(client, address, method, path, body, limit_s)
        except exception.CopperloomError as error:
            if error.code not in _TRY_NEXT:
                _raise(error, unknown)
            failed = error
            if error.run is exception.Run.MAY_HAVE_RUN:
                unknown = error
    # One entry's word that nothing was done says nothing of what an earlier
    # one may have done.
    raise unknown or failed


def _raise(error: exception.CopperloomError, unknown) -> None:
    """Raises a final answer, unless an earlier one left more open.

    A lost race settles what an earlier entry may have done; that this entry
    refuses the token, for example, does not.
    """
    if unknown is None or isinstance(error, exception.ChangeLostError):
        raise error
    raise unknown


async def _ask(client, address, method, path, body, limit_s) -> dict:
    url = f"http://{address}/admin/v1/{path}"
    limit = aiohttp.ClientTimeout(total=limit_s, sock_connect=_TIMEOUT_S)
    try:
        async with client.session.request(
            method, url, data=body, timeout=limit
        ) as reply:
            raw = await reply.read()
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
        aiohttp.InvalidURL,
    ) as error:
        raise exception.PlatformDownError(f"{address}: {error}") from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        text = f"{address}: {type(error).__name__}, no answer"
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
