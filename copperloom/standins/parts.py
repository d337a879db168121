"""Other engines' parts of a prompt that is larger than one engine."""

import asyncio
from collections.abc import Callable

import aiohttp

__all__ = ["Parts"]

_LOOK_S = 0.25
_TIMEOUT_S = 2.0


class Parts:
    """Asks other engines for their parts, and watches that they stay."""

    def __init__(self):
        self.session: aiohttp.ClientSession | None = None
        self.tasks: set[asyncio.Task] = set()

    async def export_all(self, handles: tuple[str, ...]) -> int | None:
        """Returns the tokens of all parts; None if one is not there."""
        found = [await self._export(handle) for handle in handles]
        return None if None in found else sum(found)

    def watch(
        self,
        handles: tuple[str, ...],
        lost: Callable[[], None],
        over: Callable[[], bool],
    ) -> None:
        """Calls `lost` once a part is gone, until `over` is true."""
        task = asyncio.create_task(self._watch(handles, lost, over))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """Ends all watches."""
        for task in list(self.tasks):
            task.cancel()
        if self.session is not None:
            await self.session.close()

    async def _watch(self, handles, lost, over) -> None:
        while not over():
            if await self.export_all(handles) is None:
                lost()
                return
            await asyncio.sleep(_LOOK_S)

    async def _export(self, handle: str) -> int | None:
        address, _, stream = handle.partition("/")
        if self.session is None:
            self.session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S)
            )
        try:
            async with self.session.get(
                f"http://{address}/kv/{stream}"
            ) as resp:
                if resp.status != 200:
                    return None
                return (await resp.json())["kv_tokens"]
        except (TimeoutError, aiohttp.ClientError):
            return None
