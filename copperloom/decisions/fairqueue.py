"""Start-time fair queue of requests, by organisation and estimated tokens.

Method: Goyal, Vin and Cheng, "Start-time Fair Queueing" (SIGCOMM 1996). Each
request gets a start tag, the greater of the queue's virtual time and its
organisation's last finish tag; the least start tag goes first. Push, pop and
remove cost O(log n).
"""

import dataclasses
import itertools

import sortedcontainers

from copperloom import messages

__all__ = [
    "FairQueue",
    "Item",
    "first",
    "pop",
    "push",
    "remove",
    "tokens_ahead",
]

# Finish tags of idle organisations are dropped once there are this many, or
# twice those that were left the last time, so that 25,000 organisations that
# came by once hold no memory and a push stays cheap with many that wait.
TAGS_MOST = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A queued request.

    Attributes:
        request: The request.
        cost: Its estimated tokens.
        start: Start tag.
        sequence: Order among equal tags.
        queued_at: Monotonic time at which it was queued.
        give_up_at: Monotonic time at which it is refused if still queued.
    """

    request: messages.Request
    cost: int
    start: float
    sequence: int
    queued_at: float
    give_up_at: float


class FairQueue:
    """Queued requests of one pool and one class of length.

    Attributes:
        fair: Whether organisations are kept apart; else first come.
        items: Items by request id.
        order: (start, sequence, id), least first.
        expiry: (give_up_at, id), least first.
        tokens: Sum of the costs.
        waiting: Number of queued requests by organisation.
        weights: Sum of the weights of the organisations that wait.
        virtual: Start tag of the last request popped.
        finish: Finish tags by organisation.
        finish_most: Number of finish tags at which idle ones are dropped.
    """

    def __init__(self, *, fair: bool = True):
        self.fair = fair
        self.items: dict[str, Item] = {}
        self.order = sortedcontainers.SortedList()
        self.expiry = sortedcontainers.SortedList()
        self.tokens = 0
        self.waiting: dict[str, int] = {}
        self.weights = 0.0
        self.virtual = 0.0
        self.finish: dict[str, float] = {}
        self.finish_most = TAGS_MOST
        self.sequence = itertools.count()

    def __len__(self):
        return len(self.items)


def start_tag(queue: FairQueue, organisation: str) -> float:
    """Returns the start tag that the organisation's next request gets."""
    if not queue.fair:
        return 0.0
    return max(queue.virtual, queue.finish.get(organisation, 0.0))


def push(
    queue: FairQueue,
    req: messages.Request,
    cost: int,
    now: float,
    give_up_at: float,
    *,
    again: bool = False,
) -> None:
    """Queues a request.

    Made for one organisation that sends most of the load: its tags run ahead
    of the virtual time, so that the others' requests pass its backlog.

    Args:
        queue: The queue.
        req: The request.
        cost: Its estimated tokens.
        now: Monotonic seconds.
        give_up_at: When it is to be refused if it is still queued.
        again: Whether it was dispatched before; it paid then, and waits no
            second time.
    """
    start = queue.virtual if again else start_tag(queue, req.organisation)
    if queue.fair and not again:
        queue.finish[req.organisation] = start + cost / max(req.weight, 1e-6)
        if len(queue.finish) > queue.finish_most:
            _drop_idle(queue)
    sequence = -1 if again else next(queue.sequence)
    item = Item(req, cost, start, sequence, now, give_up_at)
    queue.items[req.id] = item
    queue.order.add((start, sequence, req.id))
    queue.expiry.add((give_up_at, req.id))
    queue.tokens += cost
    count = queue.waiting.get(req.organisation, 0)
    queue.waiting[req.organisation] = count + 1
    queue.weights += req.weight if count == 0 else 0.0


def first(queue: FairQueue, count: int) -> list[Item]:
    """Returns the first items in order, without removing them."""
    return [queue.items[key[2]] for key in queue.order.islice(0, count)]


def pop(queue: FairQueue, item: Item) -> None:
    """Removes an item that is dispatched, and moves the virtual time."""
    queue.virtual = max(queue.virtual, item.start)
    remove(queue, item.request.id)


def remove(queue: FairQueue, request_id: str) -> Item | None:
    """Removes an item that is given up; returns it if it was there."""
    item = queue.items.pop(request_id, None)
    if item is None:
        return None
    queue.order.remove((item.start, item.sequence, request_id))
    queue.expiry.remove((item.give_up_at, request_id))
    queue.tokens -= item.cost
    _count_out(queue, item.request)
    if not queue.items:
        # An idle queue starts afresh: nobody waits, so nobody is owed.
        queue.finish.clear()
        queue.virtual = 0.0
        queue.weights = 0.0
    return item


def tokens_ahead(queue: FairQueue, req: messages.Request) -> float:
    """Estimates the tokens that go before a request if it came now.

    The greater of what stands before it, and of what will come before it
    while the organisations that wait go on sending: the virtual time has to
    reach its start tag, and moves by one for each token of each unit of
    weight that waits.
    """
    if not queue.items:
        return 0.0
    tag = start_tag(queue, req.organisation)
    count = queue.order.bisect_right((tag, float("inf"), ""))
    before = queue.tokens * count / len(queue.items)
    return max(before, (tag - queue.virtual) * queue.weights)


def _count_out(queue: FairQueue, req: messages.Request) -> None:
    left = queue.waiting[req.organisation] - 1
    if left:
        queue.waiting[req.organisation] = left
        return
    del queue.waiting[req.organisation]
    queue.weights -= req.weight


def _drop_idle(queue: FairQueue) -> None:
    """Forgets organisations whose finish tag the virtual time has passed."""
    queue.finish = {
        name: tag for name, tag in queue.finish.items() if tag > queue.virtual
    }
    queue.finish_most = max(TAGS_MOST, 2 * len(queue.finish))
