"""What the pages promise, checked from what callers and targets saw."""

import collections
import dataclasses

from bench.frontsoak import callers
from bench.frontsoak.world import Got, World

__all__ = ["Finding", "check"]

# A paused process answers late by its pause, 1.2 s at most, and a delayed link
# by 0.3 s each way; the rest is for a busy machine.
_LATE_S = callers.WAIT_S + 1.2 + 0.6 + 0.9
# A kill or pause so long before a request can still reach into it.
_SHADOW_S = 2.0
_LEAST_PER_S = 5
_ONCE = ("/write/x", "/once/x")
_PLAIN = ("/read/x", "/write/x")


@dataclasses.dataclass(frozen=True)
class Finding:
    """A broken promise.

    Attributes:
        rule: Which.
        detail: What was seen.
    """

    rule: str
    detail: str


def check(world: World) -> list[Finding]:
    """Lists all promises that were broken."""
    targets = world.targets.values()
    runs = collections.Counter(i for t in targets for i in t.runs)
    found = []
    for got in world.got:
        found += _check_runs(got, runs[got.id])
        found += _check_answer(world, got, runs[got.id])
    # A target behind a silent link cannot know that its caller has left.
    busy = [n for n, t in world.targets.items() if t.running]
    busy = [n for n in busy if n not in world.silenced]
    if busy:
        found.append(Finding("GONE", f"still at work: {busy}"))
    if len(world.got) < world.sizes.seconds * _LEAST_PER_S:
        found.append(Finding("SERVED", f"only {len(world.got)} requests"))
    return found


def _check_runs(got: Got, runs: int) -> list[Finding]:
    found = []
    if got.path in _ONCE and runs > 1:
        found.append(Finding("TWICE", f"{got.id} ran {runs} times"))
    if got.path in _ONCE and got.status in (429, 503) and runs:
        found.append(Finding("REFUSED", f"{got.id} was refused and ran"))
    return found


def _check_answer(world: World, got: Got, runs: int) -> list[Finding]:
    found = []
    if got.status in (401, 403, 404):
        found.append(Finding("DENIED", f"{got.id} got {got.status}"))
    if got.whole and got.status == 200 and not _is_right(got):
        found.append(Finding("MIXED", f"{got.id}: {got.body[:80]!r}"))
    if got.ended - got.begun > _LATE_S:
        took = got.ended - got.begun
        found.append(Finding("LATE", f"{got.id} took {took:.1f} s"))
    # A plain request that a target ran has some answer to get, unless its
    # instance was killed or stood still.
    mute = got.path in _PLAIN and runs and not got.status
    if mute and not _was_disturbed(world, got):
        found.append(Finding("LOST", f"{got.id} got no answer"))
    return found


def _was_disturbed(world: World, got: Got) -> bool:
    times = world.fronts[got.front].disturbed
    return any(got.begun - _SHADOW_S <= at <= got.ended for at in times)


def _is_right(got: Got) -> bool:
    if got.path in _PLAIN:
        return got.body.endswith(f" did {got.id}".encode())
    wanted = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 6))
    return got.body.decode() == wanted
