"""Links between one instance and targets, so that it can be partitioned.

Connections of the instance to a target are redirected to a proxy of its own.
Other instances reach the same target by other proxies or directly.
"""

import asyncio
import enum
import socket
from collections.abc import Callable

from copperloom.standins import proxy
from copperloom.utils import sockets

__all__ = ["Links", "Partition", "redirect_sockets"]

# More connections than an accept queue of the least length holds.
_QUEUE_FILLERS = 4
_HELD = proxy.PairFaults(hold_up=True, hold_down=True)


class Partition(enum.Enum):
    """What happens to connections of a partitioned instance.

    Attributes:
        DROP: Packets are lost: new connections get no reply, and open ones
            hang.
        HANG: New connections are accepted, but nothing passes.
        RESET: Open connections are reset, new ones right after they were
            accepted.
        REFUSE: New connections are refused; open ones live on.
    """

    DROP = "drop"
    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class Links:
    """The proxies between one instance and its targets.

    Attributes:
        pairs: Proxies by address (IP:port) of the target.
        listeners: Their listeners; none for a target that has ended or whose
            connections are refused.
        ended: Addresses of targets that have ended.
        fillers: Sockets that fill the accept queues of silent listeners.
        partition: The partition in force; None for none.
    """

    def __init__(self):
        self.pairs: dict[str, proxy.Pair] = {}
        self.listeners: dict[str, asyncio.Server | socket.socket] = {}
        self.ended: set[str] = set()
        self.fillers: list[socket.socket] = []
        self.partition: Partition | None = None

    def addresses(self) -> dict[str, str]:
        """Returns the addresses of the proxies by address of the target."""
        return {name: pair.listen for name, pair in self.pairs.items()}

    async def add(self, address: str) -> None:
        """Opens the proxy to a target."""
        self.pairs[address] = proxy.Pair("127.0.0.1:0", address)
        await self._listen(address)

    async def cut(self, how: Partition) -> None:
        """Partitions the instance from all targets."""
        self.partition = how
        for address, pair in self.pairs.items():
            if how in (Partition.DROP, Partition.HANG):
                pair.faults = _HELD
            if how is Partition.RESET:
                pair.faults = proxy.PairFaults(refuse=True)
                proxy.reset(pair)
            if how in (Partition.DROP, Partition.REFUSE):
                self.refuse(address)
            if how is Partition.DROP:
                self._drop_connections(address)

    async def heal(self) -> None:
        """Ends the partition."""
        self.partition = None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        for address, pair in self.pairs.items():
            pair.faults = proxy.PairFaults()
            self.refuse(address)
            if address not in self.ended:
                await self._listen(address)

    def end_target(self, address: str) -> None:
        """Refuses connections to a target that has ended."""
        self.ended.add(address)
        if self.partition is not Partition.DROP:
            self.refuse(address)
        proxy.reset(self.pairs[address])

    async def start_target(self, address: str) -> None:
        """Accepts connections to a target that has started again."""
        self.ended.discard(address)
        if self.partition in (None, Partition.HANG, Partition.RESET):
            self.refuse(address)
            await self._listen(address)

    def close(self) -> None:
        """Closes all proxies."""
        for filler in self.fillers:
            filler.close()
        for address, pair in self.pairs.items():
            self.refuse(address)
            for task in list(pair.tasks):
                task.cancel()

    async def _listen(self, address: str) -> None:
        self.listeners[address] = await proxy.open_pair(self.pairs[address])

    def refuse(self, address: str) -> None:
        """Refuses new connections to a target."""
        listener = self.listeners.pop(address, None)
        if listener is not None:
            listener.close()

    def _drop_connections(self, address: str) -> None:
        """Listens with a full accept queue, so that no SYN is replied to."""
        host, _, port = self.pairs[address].listen.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        self.listeners[address] = listener
        for _ in range(_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.fillers.append(filler)


class _RedirectedSocket(socket.socket):
    addresses: dict[str, str]

    def connect(self, address) -> None:
        host, port = address[:2]
        given = f"{host}:{port}"
        host, _, port = self.addresses.get(given, given).rpartition(":")
        super().connect((host, int(port)))


def redirect_sockets(
    addresses: Callable[[], dict[str, str]],
) -> Callable[[tuple], socket.socket]:
    """Returns a socket factory whose connections are redirected.

    Args:
        addresses: Returns the addresses (IP:port) of the proxies by address
            of the target.
    """
    open_socket = sockets.monitored_socket

    def make_socket(info) -> socket.socket:
        given = open_socket(info)
        redirected = _RedirectedSocket(fileno=given.detach())
        redirected.setblocking(False)
        redirected.addresses = addresses()
        return redirected

    return make_socket
