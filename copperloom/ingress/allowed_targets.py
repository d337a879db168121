"""The data centres to which a request may go, and its refusal without any."""

import asyncio

from copperloom import exception
from copperloom.decisions import homes, registry
from copperloom.ingress import exchange
from copperloom.ingress.state import IngressState

__all__ = [
    "check",
    "excludes_lead",
    "find_refusal",
    "peer_data_centres",
    "set_data_centres",
]

# Callers that were refused at the same time return spread over this range.
_RETRY_S = (1.0, 2.0)


def set_data_centres(
    ex: exchange.Exchange, by_organisation: frozenset[str] | None
) -> None:
    """Sets the data centres whose targets may run a request.

    Args:
        ex: The request.
        by_organisation: Regions that its organisation allows; None for all.
    """
    by_route = ex.route.allowed_regions
    if by_route is None and by_organisation is None:
        return
    ex.data_centres = homes.data_centres_for_run(
        by_route, by_organisation, _regions(ex.state)
    )


def peer_data_centres(ex: exchange.Exchange) -> frozenset[str] | None:
    """Returns the data centres of peers that may get the body; None for all."""
    if ex.data_centres is None:
        return None
    return homes.data_centres_for_body(
        ex.data_centres, ex.state.settings.data_centre, _regions(ex.state)
    )


def _regions(state: IngressState) -> dict[str, str]:
    """Returns regions by data centre, the own one included if it is given."""
    own = state.settings
    regions = {own.data_centre: own.region} if own.region else {}
    return regions | own.regions


def check(ex: exchange.Exchange) -> None:
    """Refuses a request if evacuations or regions leave it no target.

    Raises:
        copperloom.exception.DataCentreEvacuatedError: All targets are in
            evacuated data centres.
        copperloom.exception.NoTargetInRegionError: None is in a region where
            the request may run.
    """
    if ex.data_centres is None and not ex.state.targets.evacuated:
        return
    now = asyncio.get_running_loop().time()
    if registry.usable(ex.state.targets, ex.service, now, ex.data_centres):
        return
    error = find_refusal(ex)
    if error is not None:
        raise error


def excludes_lead(ex: exchange.Exchange) -> bool:
    """Returns whether evacuations leave no target that may get the request.

    One that was sent to as many targets as its route allows may only go to
    these again.
    """
    names = exchange.may_lead(ex)
    if not names or not ex.state.targets.evacuated:
        return False
    found = (registry.find(ex.state.targets, name) for name in names)
    return all(
        e is None or registry.is_evacuated(ex.state.targets, e) for e in found
    )


def find_refusal(ex: exchange.Exchange) -> exception.CopperloomError | None:
    """Returns the refusal of a request without targets.

    Returns:
        None if neither evacuations nor regions are the reason.
    """
    targets = ex.state.targets
    allowed = ex.data_centres
    if excludes_lead(ex):
        return _evacuated_error(ex)
    if registry.has_draining(targets, ex.service, allowed):
        return None
    if registry.has_evacuated(targets, ex.service, allowed):
        return _evacuated_error(ex)
    if allowed is None or ex.service not in registry.services(targets):
        return None
    return exception.NoTargetInRegionError(
        f"retry later: service {ex.service} has no target in the regions "
        "where this request may run",
        run=ex.run,
        retry_after_s=ex.state.rng.uniform(*_RETRY_S),
    )


def _evacuated_error(
    ex: exchange.Exchange,
) -> exception.DataCentreEvacuatedError:
    return exception.DataCentreEvacuatedError(
        f"retry later: all targets of service {ex.service} that this request "
        "may go to are in evacuated data centres",
        run=ex.run,
        retry_after_s=ex.state.rng.uniform(*_RETRY_S),
    )
