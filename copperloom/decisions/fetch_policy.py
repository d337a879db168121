"""Decides from which peer, and when, an instance fetches a new version.

After a change of the configuration, many instances learn of it at once from
the same peer. If all of them fetched from that one, its uplink would be
saturated, the calls would time out, and old routes would stay in force too
long. So fetches are delayed at random, go to random peers, and are declined
by a peer whose uplink is busy.
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

# The platform's own notification mostly arrives within this time of a peer's,
# which makes the fetch unnecessary.
MIN_DELAY_S = 0.04
# Growth of the maximum delay per member: less than a fetch takes, since each
# completed fetch adds a source. On a link of 20 Mbit/s a fetch of 40 KB takes
# 16 ms.
DELAY_PER_MEMBER_S = 0.004
# A fifth of the time in which a change has to be in force everywhere.
MAX_DELAY_S = 0.4
# A document is declined while more than this is queued on the uplink. The
# number of sources then doubles with each round, and responses to callers,
# which share the uplink, are delayed by no more than this and one document.
MAX_QUEUED_S = 0.08
# Backoff after a declined fetch: declining costs the peer processor time too.
RETRY_S = 0.1
MAX_RETRY_S = 0.6
# Transfers of a packet or two are always sent: an update on a draining target
# must not wait behind documents.
SMALL_TRANSFER_S = 0.002
# Growth of the maximum delay per member for instances that start together:
# requests must not come faster than the uplink carries the responses.
START_DELAY_PER_MEMBER_S = 0.004
# Number of latest recipients that are remembered.
MAX_RECIPIENTS = 32
# Number of recipients that are named to a peer whose fetch is declined.
MAX_ALTERNATIVES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A member that has a newer version.

    Attributes:
        instance: Its name.
        calls: IP:port for RPCs.
        is_local: Whether it is in the same data centre.
    """

    instance: str
    calls: str
    is_local: bool


class Uplink:
    """Documents that an instance is sending to others.

    Attributes:
        free_at: Monotonic time at which all of them will have been sent.
        recipients: Addresses of members that were sent one, the latest last.
    """

    def __init__(self):
        self.free_at = float("-inf")
        self.recipients: collections.deque[str] = collections.deque(
            maxlen=MAX_RECIPIENTS
        )


def try_send(uplink: Uplink, transfer_s: float, now: float) -> bool:
    """Reserves uplink time for a document unless the queue is too long.

    Args:
        uplink: The uplink.
        transfer_s: Transfer time of the document, in seconds.
        now: Monotonic time.

    Returns:
        Whether to send it now; if not, the requester should try another peer.
    """
    if transfer_s > SMALL_TRANSFER_S and uplink.free_at - now > MAX_QUEUED_S:
        return False
    uplink.free_at = max(uplink.free_at, now) + transfer_s
    return True


def record_recipient(uplink: Uplink, address: str) -> None:
    """Records a member that was sent a document and can serve it to others."""
    if address and address not in uplink.recipients:
        uplink.recipients.append(address)


def alternatives(
    uplink: Uplink, requester: str, rng: random.Random
) -> list[str]:
    """Draws members that a requester may fetch from instead.

    Instances that start together know only the one or two that have read the
    tables. Naming earlier recipients lets the number of sources double with
    each round.
    """
    known = [address for address in uplink.recipients if address != requester]
    return rng.sample(known, min(MAX_ALTERNATIVES, len(known)))


def choose_source(
    sources: Iterable[Source], tried: set[str], rng: random.Random
) -> Source | None:
    """Draws a member to fetch from, a local one if there is any.

    Args:
        sources: Members that have a newer version.
        tried: Names of members that were tried without success.
        rng: Random number generator.

    Returns:
        The member, or None if all were tried.
    """
    untried = [s for s in sources if s.calls and s.instance not in tried]
    local = [s for s in untried if s.is_local]
    candidates = local or untried
    return rng.choice(candidates) if candidates else None


def fetch_delay_s(members: int, rng: random.Random) -> float:
    """Draws the delay before a fetch, which grows with the fleet."""
    max_delay_s = min(MAX_DELAY_S, MIN_DELAY_S + DELAY_PER_MEMBER_S * members)
    return rng.uniform(MIN_DELAY_S, max_delay_s)


def start_delay_s(members: int, rng: random.Random) -> float:
    """Draws the delay before the first fetch of an instance that starts."""
    return rng.uniform(
        0.0, min(MAX_DELAY_S, START_DELAY_PER_MEMBER_S * members)
    )


def retry_delay_s(rng: random.Random, declined: int = 0) -> float:
    """Draws the backoff after a declined fetch, in seconds.

    Args:
        rng: Random number generator.
        declined: Number of declined fetches before this one.
    """
    return rng.uniform(0.5, 1.5) * min(MAX_RETRY_S, RETRY_S * 2.0**declined)
