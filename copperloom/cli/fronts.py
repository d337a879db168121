"""Queries to `copperloom-front` on its metrics address."""

import urllib.parse

import aiohttp
import msgspec

from copperloom import exception

__all__ = ["ask", "explained", "status"]

_TIMEOUT_S = 3.0
_OK = 200


async def ask(address: str, call: str, /, **query: str) -> dict:
    """Sends a query to an instance and returns its response.

    Args:
        address: IP:port of the instance's metrics.
        call: Name of the query.
        **query: Parameters of the query.

    Raises:
        copperloom.exception.PeerUnavailableError: The query failed.
    """
    text = urllib.parse.urlencode(query)
    url = f"http://{address}/{call}?{text}"
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as resp,
        ):
            raw = await resp.read()
            if resp.status != _OK:
                raise exception.PeerUnavailableError(f"{url}: {resp.status}")
            return msgspec.json.decode(raw, type=dict)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
        raise exception.PeerUnavailableError(f"{url}: {error}") from error


def status(answer: dict) -> str:
    """Formats the status of an instance."""
    routes, targets = answer["routes"], answer["targets"]
    lines = [
        f"{answer['instance']} in {answer['data_centre']}, "
        f"{answer['active']} requests in progress"
        + (", draining" if answer["draining"] else ""),
        f"routes: version {routes['version']}, {routes['count']} routes, "
        f"adopted {routes['age_s']} s ago",
        f"targets: version {targets['version']} of era {targets['era']}, "
        f"changed {targets['age_s']} s ago",
    ]
    for service, counts in sorted(targets["by_service"].items()):
        retries_left = answer["repeats_left"].get(service)
        tail = (
            "" if retries_left is None else f", {retries_left:.0f} retries left"
        )
        counts_text = ", ".join(f"{n} {state}" for state, n in counts.items())
        lines.append(f"  {service}: {counts_text}{tail}")
    if answer["lost_tables"]:
        unreachable = ", ".join(answer["lost_tables"])
        lines.append(f"unreachable tables: {unreachable}")
    for target, limit in sorted(answer["limits"].items()):
        lines.append(
            f"{target} takes {limit['per_s']:g} requests a second, the next "
            f"in {limit['next_s']} s"
        )
    for target, left_s in sorted(answer["held"].items()):
        lines.append(f"{target} gets no requests for {left_s} s")
    for found in answer["quarantined"]:
        crashes = ", ".join(
            f"{target} {age_s} s ago"
            for target, age_s in found["crashes"].items()
        )
        lines.append(
            f"quarantined request {found['digest']}: crashed {crashes}; "
            f"{found['trials']} trials, next in {found['left_s']} s"
        )
    for member in answer["members"]:
        flags = [flag for flag in ("leaving", "store_lost") if member[flag]]
        lines.append(
            f"  {member['instance']} in {member['data_centre']}: last message "
            f"{member['heard_s']} s ago, routes {member['routes_version']}, "
            f"targets {member['targets_version']} {' '.join(flags)}".rstrip()
        )
    return "\n".join(lines)


def explained(answer: dict) -> str:
    """Formats how an instance would route a request."""
    lines = [f"according to routes version {answer['routes_version']}"]
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
