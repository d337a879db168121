"""The calls by which tests change and question stand-ins."""

import aiohttp

__all__ = ["control", "truth"]


async def control(address: str, **changes) -> None:
    """Changes a stand-in's behaviour; see docs/design/engines.md."""
    async with (
        aiohttp.ClientSession(raise_for_status=True) as session,
        session.post(f"http://{address}/_standin/control", json=changes),
    ):
        pass


async def truth(address: str) -> dict:
    """Returns what really happened at a stand-in."""
    async with (
        aiohttp.ClientSession(raise_for_status=True) as session,
        session.get(f"http://{address}/_standin/truth") as resp,
    ):
        return await resp.json()
