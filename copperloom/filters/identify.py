"""Identifies the organisation by the bearer token of a request."""

import hashlib

from copperloom import exception
from copperloom.filters import exchange

__all__ = ["identify", "token_digest"]

_BEARER = "bearer "


def token_digest(token: str) -> str:
    """Returns the SHA-256 of a token in hex, as the configuration holds it."""
    return hashlib.sha256(token.encode()).hexdigest()


async def identify(ex: exchange.Exchange, nxt: exchange.Next) -> None:
    """Sets ex.organisation.

    Raises:
        copperloom.exception.UnknownOrganisationError: No bearer token, or one
            that is not configured.
    """
    ex.organisation = _find_organisation(ex)
    await nxt(ex)


def _find_organisation(ex: exchange.Exchange):
    header = ex.http.headers.get("Authorization", "")
    if not header.lower().startswith(_BEARER):
        raise exception.UnknownOrganisationError(
            "the Authorization header has no bearer token; send"
            " 'Authorization: Bearer TOKEN'"
        )
    digest = token_digest(header[len(_BEARER) :].strip())
    organisation = ex.cfg.organisation_by_token.get(digest)
    if organisation is None and ex.state.cfg_loaded:
        raise exception.UnknownOrganisationError()
    return organisation
