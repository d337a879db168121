"""Client functions by which tests control and inspect stand-ins."""

import aiohttp

__all__ = ["control", "truth"]


async def control(address: str, **changes) -> None:
    """Changes the behaviour of a stand-in, as in docs/design/engines.md.

    Args:
        address: IP:port of the stand-in.
        **changes: Faults and other changes by name.
    """
    async with (
        aiohttp.ClientSession(raise_for_status=True) as session,
        session.post(f"http://{address}/_standin/control", json=changes),
    ):
        pass


async def truth(address: str) -> dict:
    """Returns the state and the records of a stand-in."""
    async with (
        aiohttp.ClientSession(raise_for_status=True) as session,
        session.get(f"http://{address}/_standin/truth") as resp,
    ):
        return await resp.json()
