"""Questions to `copperloom-front` on its internal port."""

import urllib.parse

import aiohttp
import msgspec

from copperloom import exception

__all__ = ["ask", "explained", "status"]

_LIMIT_S = 3.0
_OK = 200


async def ask(address: str, call: str, /, **query: str) -> dict:
    """Asks an instance.

    Raises:
        copperloom.exception.PeerUnavailableError: It gave no answer.
    """
    text = urllib.parse.urlencode(query)
    url = f"http://{address}/{call}?{text}"
    limit = aiohttp.ClientTimeout(total=_LIMIT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=limit) as session,
            session.get(url) as resp,
        ):
            raw = await resp.read()
            if resp.status != _OK:
                raise exception.PeerUnavailableError(f"{url}: {resp.status}")
            return msgspec.json.decode(raw, type=dict)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
        raise exception.PeerUnavailableError(f"{url}: {error}") from error


def status(answer: dict) -> str:
    """Tells an instance's state for people."""
    routes, targets = answer["routes"], answer["targets"]
    lines = [
        f"{answer['instance']} in {answer['data_centre']}, "
        f"{answer['active']} requests in progress"
        + (", draining" if answer["draining"] else ""),
        f"routes: version {routes['version']}, {routes['count']} of them, "
        f"adopted {routes['age_s']} s ago",
        f"targets: version {targets['version']}, changed "
        f"{targets['age_s']} s ago",
    ]
    for service, counts in sorted(targets["by_service"].items()):
        left = answer["repeats_left"].get(service)
        tail = "" if left is None else f", {left:.0f} repeats left"
        said = ", ".join(f"{n} {word}" for word, n in counts.items())
        lines.append(f"  {service}: {said}{tail}")
    if answer["lost_tables"]:
        lost = ", ".join(answer["lost_tables"])
        lines.append(f"the platform does not give: {lost}")
    for member in answer["members"]:
        flags = [w for w in ("leaving", "store_lost") if member[w]]
        lines.append(
            f"  {member['instance']} in {member['data_centre']}: heard "
            f"{member['heard_s']} s ago, routes {member['routes_version']}, "
            f"targets {member['targets_version']} {' '.join(flags)}".rstrip()
        )
    return "\n".join(lines)


def explained(answer: dict) -> str:
    """Tells for people which way a request would go."""
    lines = [f"by routes version {answer['routes_version']}"]
    route = answer.get("route")
    if route:
        lines.append(
            f"route {route['name']}: {route['kind']}, time limit "
            f"{route['timeout_s']:g} s, {route['max_attempts']} attempts"
        )
    if "organisation" in answer:
        lines.append(f"organisation {answer['organisation']}")
    for service in answer.get("services", ()):
        lines.append(
            f"service {service['service']}: weight {service['weight']:g}, "
            f"{service['targets']} targets"
        )
    if "refused" in answer:
        lines.append(f"refused: {answer['refused']}, code {answer['code']}")
    return "\n".join(lines)
