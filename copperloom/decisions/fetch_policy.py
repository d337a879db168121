"""Which peer an instance asks for what it lacks, and when.

Made for the moment in which the operators write a document of half a megabyte
and 70 instances hear of it from the same one at once. When all of them asked
that one, its link of 20 Mbit/s was full for seconds, every call ran out of
time, and the old routes stayed in force far beyond the time allowed.
"""

import collections
import dataclasses
import random
from collections.abc import Iterable

__all__ = [
    "Source",
    "Uplink",
    "retry_delay_s",
    "choose_source",
    "fetch_delay_s",
    "try_send",
    "record_recipient",
    "alternatives",
    "start_delay_s",
]

# The platform's own word mostly comes within this time of a peer's.
LEAST_DELAY_S = 0.04
# Fetches are spread by so much for each member: with 20 Mbit/s and 40 KB a
# fetch takes 16 ms, and each that ends adds a source.
SPREAD_S = 0.004
# A fifth of the time in which a change has to be in force everywhere.
MOST_DELAY_S = 0.4
# A document is sent only while less than this is on its way to others: it
# spreads by doubling then, and answers to callers, which share the link, are
# held up by no more than a relay may take.
MOST_QUEUED_S = 0.08
# Whoever was put off asks again after about the time of two fetches, then more
# seldom: answering costs those that are asked processor time, too.
AGAIN_S = 0.1
MOST_AGAIN_S = 0.6
# What takes less of the link than a packet or two is sent in any case: word of
# a target that leaves must not wait behind documents.
SMALL_S = 0.002
# Instances that start at the same moment ask at moments drawn from so much for
# each: an answer must not be asked for faster than the link carries them.
START_SPREAD_S = 0.004
# Members that are remembered as having been given something, the latest ones.
MOST_GIVEN = 32
# So many of them are named to whoever is put off.
MOST_NAMED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A member that has something newer.

    Attributes:
        instance: Its name.
        calls: IP:port for calls.
        is_local: Whether it stands in the same data centre.
    """

    instance: str
    calls: str
    is_local: bool


class Uplink:
    """What an instance has on its way to others.

    Attributes:
        free_at: Monotonic time at which it will all have been sent.
        recipients: Addresses of members that it was sent to, the latest last.
    """

    def __init__(self):
        self.free_at = float("-inf")
        self.recipients: collections.deque[str] = collections.deque(
            maxlen=MOST_GIVEN
        )


def try_send(uplink: Uplink, size_s: float, now: float) -> bool:
    """Takes room on the link for a document, if there is any.

    Args:
        uplink: The link.
        size_s: Time that the document takes on it.
        now: Monotonic time.

    Returns:
        Whether to send it now; if not, whoever asked should ask another.
    """
    if size_s > SMALL_S and uplink.free_at - now > MOST_QUEUED_S:
        return False
    uplink.free_at = max(uplink.free_at, now) + size_s
    return True


def record_recipient(uplink: Uplink, address: str) -> None:
    """Notes a member that has been sent a document, and can pass it on."""
    if address and address not in uplink.recipients:
        uplink.recipients.append(address)


def alternatives(uplink: Uplink, asker: str, rng: random.Random) -> list[str]:
    """Draws members that whoever is put off may ask instead.

    A hundred instances that start together hear of one or two that have read
    the tables. Named the ones that were served before, they ask those, and a
    document spreads by doubling.
    """
    known = [address for address in uplink.recipients if address != asker]
    return rng.sample(known, min(MOST_NAMED, len(known)))


def choose_source(
    sources: Iterable[Source], tried: set[str], rng: random.Random
) -> Source | None:
    """Draws a member to ask, a near one if there is any.

    Args:
        sources: Members that have something newer.
        tried: Names of those that did not answer.
        rng: Source of the draw.

    Returns:
        The member, or None if all were tried.
    """
    left = [s for s in sources if s.calls and s.instance not in tried]
    near = [s for s in left if s.is_local]
    among = near or left
    return rng.choice(among) if among else None


def fetch_delay_s(members: int, rng: random.Random) -> float:
    """Draws how long to wait before asking, by the number of members."""
    most = min(MOST_DELAY_S, LEAST_DELAY_S + SPREAD_S * members)
    return rng.uniform(LEAST_DELAY_S, most)


def start_delay_s(members: int, rng: random.Random) -> float:
    """Draws how long an instance that knows nothing waits before asking."""
    return rng.uniform(0.0, min(MOST_DELAY_S, START_SPREAD_S * members))


def retry_delay_s(rng: random.Random, times: int = 0) -> float:
    """Draws how long to wait after a member had no room on its link.

    Args:
        rng: Source of the draw.
        times: How often that was so before.
    """
    return rng.uniform(0.5, 1.5) * min(MOST_AGAIN_S, AGAIN_S * 2.0**times)
