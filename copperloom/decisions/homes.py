"""Where a request and its body may be, by the regions that are allowed.

Answers requests whose routes or organisations demand that they run in certain
regions only, also while targets there are full, fail or can't be reached, so
that retries, helper engines and peers are sought elsewhere.
"""

from collections.abc import Mapping

__all__ = ["data_centres_for_body", "data_centres_for_run"]


def data_centres_for_run(
    by_route: frozenset[str] | None,
    by_organisation: frozenset[str] | None,
    regions: Mapping[str, str],
) -> frozenset[str] | None:
    """Returns the data centres whose targets may run a request.

    Args:
        by_route: Regions that its route allows; None for all.
        by_organisation: Regions that its organisation allows; None for all.
        regions: Regions by data centre.

    Returns:
        The data centres; None for all. A region without a data centre has none.
    """
    if by_route is None and by_organisation is None:
        return None
    return frozenset(
        data_centre
        for data_centre, region in regions.items()
        if (by_route is None or region in by_route)
        and (by_organisation is None or region in by_organisation)
    )


def data_centres_for_body(
    for_run: frozenset[str] | None,
    own_data_centre: str,
    regions: Mapping[str, str],
) -> frozenset[str] | None:
    """Returns the data centres whose instances may get a request's body.

    These are the ones that may run it, and those in the caller's own region.

    Args:
        for_run: The data centres that may run it; None for all.
        own_data_centre: Data centre of the instance that the caller connected
            to.
        regions: Regions by data centre.

    Returns:
        The data centres; None for all.
    """
    if for_run is None:
        return None
    own_region = regions.get(own_data_centre)
    near = {dc for dc, region in regions.items() if region == own_region}
    return for_run | near | {own_data_centre}
