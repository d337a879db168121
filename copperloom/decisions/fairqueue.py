"""Start-time fair queue of requests, by organisation and estimated tokens.

Implements Goyal, Vin and Cheng, "Start-time Fair Queueing" (SIGCOMM 1996). Each
request gets a start tag, the greater of the queue's virtual time and its
organisation's last finish tag; the lowest start tag is served first. Push, pop
and remove take O(log n).
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

# Finish tags of idle organisations are removed once there are this many tags,
# or twice as many as remained after the last removal. This bounds memory and
# keeps the amortised cost of a push low. There may be 25,000 organisations that
# sent a request once.
MIN_TAGS_TO_PRUNE = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A queued request.

    Attributes:
        request: The request.
        cost: Its estimated tokens.
        start: Start tag.
        sequence: Order among equal start tags.
        queued_at: Monotonic time at which it was queued.
        expires_at: Monotonic time at which it is refused if still queued.
    """

    request: messages.Request
    cost: int
    start: float
    sequence: int
    queued_at: float
    expires_at: float


class FairQueue:
    """Queued requests of one pool and one class of length.

    Attributes:
        fair: Whether requests are in fair order; first come, first served if
            not.
        items: Items by request id.
        order: (start, sequence, id), lowest first.
        expiry: (expires_at, id), earliest first.
        tokens: Sum of the costs.
        waiting: Number of queued requests by organisation.
        weights: Sum of the weights of organisations with queued requests.
        virtual: Virtual time: the start tag of the last request popped.
        finish: Finish tags by organisation.
        prune_at: Number of finish tags above which idle ones are removed.
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
        self.prune_at = MIN_TAGS_TO_PRUNE
        self.sequence = itertools.count()

    def __len__(self):
        return len(self.items)


def start_tag(queue: FairQueue, organisation: str) -> float:
    """Returns the start tag of an organisation's next request."""
    if not queue.fair:
        return 0.0
    return max(queue.virtual, queue.finish.get(organisation, 0.0))


def push(
    queue: FairQueue,
    req: messages.Request,
    cost: int,
    now: float,
    expires_at: float,
    *,
    again: bool = False,
) -> None:
    """Queues a request.

    The tags of an organisation that sends most of the load run ahead of the
    virtual time, so that requests of the others overtake its backlog.

    Args:
        queue: The queue.
        req: The request.
        cost: Its estimated tokens.
        now: Monotonic seconds.
        expires_at: Monotonic time at which it is refused if still queued.
        again: Whether it was dispatched before; it is queued at the current
            virtual time, since its cost has been charged already.
    """
    start = queue.virtual if again else start_tag(queue, req.organisation)
    if queue.fair and not again:
        queue.finish[req.organisation] = start + cost / max(req.weight, 1e-6)
        if len(queue.finish) > queue.prune_at:
            _prune_idle(queue)
    sequence = -1 if again else next(queue.sequence)
    item = Item(req, cost, start, sequence, now, expires_at)
    queue.items[req.id] = item
    queue.order.add((start, sequence, req.id))
    queue.expiry.add((expires_at, req.id))
    queue.tokens += cost
    count = queue.waiting.get(req.organisation, 0)
    queue.waiting[req.organisation] = count + 1
    queue.weights += req.weight if count == 0 else 0.0


def first(queue: FairQueue, count: int) -> list[Item]:
    """Returns the first items in order without removing them."""
    return [queue.items[key[2]] for key in queue.order.islice(0, count)]


def pop(queue: FairQueue, item: Item) -> None:
    """Removes a dispatched item and advances the virtual time."""
    queue.virtual = max(queue.virtual, item.start)
    remove(queue, item.request.id)


def remove(queue: FairQueue, request_id: str) -> Item | None:
    """Removes an item by request id; returns None if it is not queued."""
    item = queue.items.pop(request_id, None)
    if item is None:
        return None
    queue.order.remove((item.start, item.sequence, request_id))
    queue.expiry.remove((item.expires_at, request_id))
    queue.tokens -= item.cost
    _uncount(queue, item.request)
    if not queue.items:
        # Without a backlog no organisation has a claim left.
        queue.finish.clear()
        queue.virtual = 0.0
        queue.weights = 0.0
    return item


def tokens_ahead(queue: FairQueue, req: messages.Request) -> float:
    """Estimates the tokens served before a request that arrives now.

    This is the greater of two values: the tokens queued ahead of it, and the
    tokens that will be served before the virtual time reaches its start tag if
    the waiting organisations keep sending.
    """
    if not queue.items:
        return 0.0
    tag = start_tag(queue, req.organisation)
    count = queue.order.bisect_right((tag, float("inf"), ""))
    before = queue.tokens * count / len(queue.items)
    return max(before, (tag - queue.virtual) * queue.weights)


def _uncount(queue: FairQueue, req: messages.Request) -> None:
    remaining = queue.waiting[req.organisation] - 1
    if remaining:
        queue.waiting[req.organisation] = remaining
        return
    del queue.waiting[req.organisation]
    queue.weights -= req.weight


def _prune_idle(queue: FairQueue) -> None:
    """Removes finish tags that the virtual time has passed."""
    queue.finish = {
        name: tag for name, tag in queue.finish.items() if tag > queue.virtual
    }
    queue.prune_at = max(MIN_TAGS_TO_PRUNE, 2 * len(queue.finish))
