"""Samples memory and descriptors of a process under test."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import resource
from collections.abc import Callable, Iterable

__all__ = ["Watch", "resident_bytes", "watch"]

_SAMPLE_S = 0.05
_PAGE_BYTES = resource.getpagesize()
# State of a listening socket in /proc/net/tcp.
_LISTENING = "0A"


@dataclasses.dataclass
class Watch:
    """What was seen of a process.

    Attributes:
        pid: Its id.
        descriptors: Most descriptors that were open.
        memory_bytes: Most memory, with the bytes that it had not read.
        unread_bytes: Most bytes that it had not read.
        before_bytes: Memory before.
    """

    pid: int
    descriptors: int = 0
    memory_bytes: int = 0
    unread_bytes: int = 0
    before_bytes: int = 0


@contextlib.asynccontextmanager
async def watch(
    pid: int, addresses: Iterable[str], is_running: Callable[[], bool]
):
    """Samples memory and descriptors of a process.

    Args:
        pid: Its id.
        addresses: IP:port of its listeners.
        is_running: Returns whether it has not ended.
    """
    seen = Watch(pid)
    seen.before_bytes = resident_bytes(seen.pid)
    task = asyncio.ensure_future(_sample(seen, addresses))
    try:
        yield seen
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if is_running():
            seen.memory_bytes = max(seen.memory_bytes, _peak_bytes(seen.pid))


async def _sample(seen: Watch, addresses) -> None:
    own = tuple(map(_encoded, addresses))
    folder = pathlib.Path(f"/proc/{seen.pid}")
    while True:
        seen.descriptors = max(seen.descriptors, len(os.listdir(folder / "fd")))
        unread_bytes = _unread_bytes(folder, own)
        seen.unread_bytes = max(seen.unread_bytes, unread_bytes)
        taken = resident_bytes(seen.pid) + unread_bytes
        seen.memory_bytes = max(seen.memory_bytes, taken)
        await asyncio.sleep(_SAMPLE_S)


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES


def _peak_bytes(pid: int) -> int:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(s for s in status.splitlines() if s.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


def _unread_bytes(folder: pathlib.Path, addresses: tuple[str, ...]) -> int:
    """Returns the bytes that connections to some addresses have not read."""
    total = 0
    for line in (folder / "net/tcp").read_text().splitlines()[1:]:
        _, local, _, connection_state, queues, *_ = line.split()
        if local in addresses and connection_state != _LISTENING:
            total += int(queues.partition(":")[2], 16)
    return total


def _encoded(address: str) -> str:
    """Returns an IP:port as it stands in /proc/net/tcp."""
    host, _, port = address.rpartition(":")
    number = bytes(reversed([int(part) for part in host.split(".")]))
    return f"{number.hex().upper()}:{int(port):04X}"
