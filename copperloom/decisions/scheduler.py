"""Thin scheduler: first come, least in flight; to be replaced by measurement.

The entry calls these functions on one thread. Nothing here reads a clock or
touches a socket.
"""

import collections

from copperloom import configuration, messages
from copperloom.targets import interface

__all__ = [
    "Scheduler",
    "backlog",
    "dispatch",
    "finished",
    "first_token",
    "forget",
    "next_wake",
    "offer",
    "report",
    "requeue",
    "set_configuration",
    "set_leaving",
    "set_peer_loads",
    "target_failed",
]


class Scheduler:
    """State of all decisions of one entry."""

    def __init__(self, *, seed: int = 0):
        self.seed = seed
        self.cfg = configuration.Configuration()
        self.queue: collections.deque[messages.Request] = collections.deque()
        self.in_flight: dict[str, int] = {}
        self.leaving: frozenset[str] = frozenset()


def set_configuration(
    sched: Scheduler, cfg: configuration.Configuration, now: float
) -> None:
    """Adopts a version of the configuration."""
    sched.cfg = cfg


def set_leaving(sched: Scheduler, leaving: frozenset[str], now: float) -> None:
    """Names the targets that get no new work, queued work included."""
    sched.leaving = leaving


def set_peer_loads(
    sched: Scheduler, loads: dict[str, tuple[int, int]], now: float
) -> None:
    """Tells what peers have at each target: (streams, prefill tokens)."""


def report(
    sched: Scheduler, target: str, load: interface.LoadReport, now: float
) -> None:
    """Takes in a target's lagging load report."""


def offer(
    sched: Scheduler, req: messages.Request, now: float
) -> messages.Refusal | None:
    """Queues a request, or refuses it at once."""
    if not _candidates(sched, req):
        return messages.Refusal(req, "NoTargetError", "no target admitted", 1.0)
    sched.queue.append(req)
    return None


def dispatch(
    sched: Scheduler, now: float
) -> list[messages.Placement | messages.Refusal]:
    """Returns what goes out now and what is given up now.

    A placement counts as in flight from here until `finished`.
    """
    out = []
    while sched.queue:
        req = sched.queue.popleft()
        names = _candidates(sched, req)
        if not names:
            out.append(
                messages.Refusal(
                    req, "NoTargetError", "no target admitted", 1.0
                )
            )
            continue
        name = min(names, key=lambda n: sched.in_flight.get(n, 0))
        sched.in_flight[name] = sched.in_flight.get(name, 0) + 1
        tokens = (req.prompt_tokens + req.max_tokens,)
        out.append(messages.Placement(req, (name,), tokens, 0))
    return out


def requeue(
    sched: Scheduler,
    placement: messages.Placement,
    now: float,
    *,
    avoid: str = "",
) -> messages.Refusal | None:
    """Takes back a placement that was not run.

    Args:
        sched: The state.
        placement: What was placed; no longer in flight.
        now: Monotonic seconds.
        avoid: A target to avoid when it is placed again.

    Returns:
        None if it is queued again, else the refusal (retry budget spent, time
        too short).
    """
    finished(sched, placement, now, ok=False)
    return offer(sched, placement.request, now)


def forget(sched: Scheduler, req: messages.Request) -> None:
    """Drops a queued request whose caller has gone."""
    sched.queue = collections.deque(r for r in sched.queue if r.id != req.id)


def first_token(
    sched: Scheduler, placement: messages.Placement, now: float, *, sent: float
) -> None:
    """Notes that the first token came; `sent` is when the work was sent."""


def finished(
    sched: Scheduler, placement: messages.Placement, now: float, *, ok: bool
) -> None:
    """Notes that a placement is over and its memory free."""
    for name in placement.targets:
        sched.in_flight[name] -= 1


def target_failed(sched: Scheduler, target: str, now: float) -> None:
    """Notes a refused connection, a broken stream or a timeout."""


def next_wake(sched: Scheduler, now: float) -> float | None:
    """Returns when `dispatch` must run again though nothing happens."""
    return None


def backlog(sched: Scheduler) -> dict[str, tuple[int, int]]:
    """Returns (streams, prefill tokens) of this entry at each target."""
    return {name: (n, 0) for name, n in sched.in_flight.items() if n}


def _candidates(sched: Scheduler, req: messages.Request) -> list[str]:
    serves = req.model or req.deployment
    return [
        t.name
        for t in sched.cfg.targets.values()
        if t.kind is req.kind
        and t.state is configuration.TargetState.ADMITTED
        and t.name not in sched.leaving
        and serves in t.serves
    ]
