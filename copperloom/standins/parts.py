"""Client for prompt parts whose KV memory other engine stand-ins hold."""

import asyncio
from collections.abc import Callable

import aiohttp

__all__ = ["Parts"]

_POLL_INTERVAL_S = 0.25
_TIMEOUT_S = 2.0


class Parts:
    """Requests parts from other engines and watches that they remain.

    Attributes:
        session: HTTP client session; None until the first request.
        tasks: Watches that are running.
    """

    def __init__(self):
        self.session: aiohttp.ClientSession | None = None
        self.tasks: set[asyncio.Task] = set()

    async def export_all(self, handles: tuple[str, ...]) -> int | None:
        """Returns the total tokens of the parts; None if one is missing."""
        part_tokens = [await self._export(handle) for handle in handles]
        return None if None in part_tokens else sum(part_tokens)

    def watch(
        self,
        handles: tuple[str, ...],
        on_lost: Callable[[], None],
        is_over: Callable[[], bool],
    ) -> None:
        """Starts to watch parts that a stream has imported.

        Args:
            handles: KV handles of the parts (ADDRESS/STREAM).
            on_lost: Called once if a part is gone.
            is_over: Returns whether the watch is to end.
        """
        task = asyncio.create_task(self._watch(handles, on_lost, is_over))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """Ends all watches and closes the HTTP session."""
        for task in list(self.tasks):
            task.cancel()
        if self.session is not None:
            await self.session.close()

    async def _watch(self, handles, on_lost, is_over) -> None:
        while not is_over():
            if await self.export_all(handles) is None:
                on_lost()
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

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
