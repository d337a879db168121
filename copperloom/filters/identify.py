"""Finds the organisation behind a request's bearer token."""

import hashlib

from copperloom import exception
from copperloom.filters import exchange

__all__ = ["identify", "token_digest"]

_BEARER = "bearer "


def token_digest(token: str) -> str:
    """Returns the hex SHA-256 under which a token is configured."""
    return hashlib.sha256(token.encode()).hexdigest()


async def identify(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.organisation, or refuses with code 2002."""
    ex.organisation = _organisation(ex)
    await nxt(ex)


def _organisation(ex: exchange.Exchange):
    header = ex.http.headers.get("Authorization", "")
    if not header.lower().startswith(_BEARER):
        raise exception.UnknownOrganisationError("no bearer token")
    digest = token_digest(header[len(_BEARER) :].strip())
    found = ex.cfg.organisation_by_token.get(digest)
    if found is None and ex.state.cfg_loaded:
        raise exception.UnknownOrganisationError()
    return found
