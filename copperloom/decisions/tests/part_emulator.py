"""Emulates targets that crash on a part of prompts, and their callers."""

import dataclasses
import random

from copperloom.decisions import (
    crash_evidence,
    crash_log,
    quarantine,
    request_digest,
)

__all__ = ["Load", "Result", "play"]

_STEP_S = 0.02
_DURATION_S = 20.0
# Time until a target begins to write, until the write proves a part sound,
# until the answer ends, and until a target that crashed has started again.
_BEGIN_S = (0.1, 0.3)
_PROOF_S = crash_evidence.BEGIN_S
_ANSWER_S = 2.0
_RESTART_S = 3.3
_REPEAT_S = 0.05
_GUILTY = "bad"


@dataclasses.dataclass(frozen=True)
class Load:
    """What callers send.

    Attributes:
        sound_per_s: Sound prompts per second, each repeated until served.
        guilty_per_s: Prompts per second with the part that crashes targets.
        parts: Number of further parts that prompts draw from.
        targets: Number of targets.
    """

    sound_per_s: float
    guilty_per_s: float
    parts: int
    targets: int


@dataclasses.dataclass
class Result:
    """What happened.

    Attributes:
        crashed_at: Times of the crashes, in seconds.
        sent_at: Times at which guilty prompts were sent.
        refused: Number of sound prompts that were refused for a part.
    """

    crashed_at: list[float] = dataclasses.field(default_factory=list)
    sent_at: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0


@dataclasses.dataclass(frozen=True)
class _Prompt:
    digest: bytes
    parts: frozenset[bytes]
    is_guilty: bool


class _World:
    def __init__(self, load: Load, seed: int):
        self.load = load
        self.rng = random.Random(seed)
        self.log = crash_log.CrashLog()
        self.running = {f"t{n}@0": [] for n in range(load.targets)}
        self.starting: list[tuple[float, str]] = []
        self.due: list[tuple[float, _Prompt]] = []
        self.made = 0
        self.result = Result()


def play(load: Load, seed: int) -> Result:
    """Plays one load; all instances share one log of evidence."""
    world = _World(load, seed)
    for step in range(int(_DURATION_S / _STEP_S)):
        now = step * _STEP_S
        _start_targets(world, now)
        for is_guilty, per_s in (
            (False, load.sound_per_s),
            (True, load.guilty_per_s),
        ):
            if world.rng.random() < per_s * _STEP_S:
                world.due.append((now, _make(world, is_guilty)))
        due = [p for at, p in world.due if at <= now]
        world.due = [(at, p) for at, p in world.due if at > now]
        for prompt in due:
            _send(world, prompt, now)
        for target in list(world.running):
            _advance(world, target, now)
    return world.result


def _make(world: _World, is_guilty: bool) -> _Prompt:
    world.made += 1
    names = ["shared", f"k{world.rng.randrange(world.load.parts)}"]
    names.append(_GUILTY if is_guilty else f"m{world.rng.randrange(3)}")
    digest = f"request {world.made:6}".encode()
    parts = frozenset(map(request_digest.part_digest, names))
    return _Prompt(digest, parts, is_guilty)


def _start_targets(world: _World, now: float) -> None:
    for at, name in list(world.starting):
        if at <= now:
            world.starting.remove((at, name))
            world.running[name] = []


def _send(world: _World, prompt: _Prompt, now: float) -> None:
    log = world.log
    if quarantine.find(log, prompt.digest) is not None or not world.running:
        return
    found = quarantine.find_parts(log, prompt.parts | {prompt.digest})
    if found is not None:
        suspects, in_force = found
        if not quarantine.is_trial_due(log, in_force, 0, now):
            world.result.refused += not prompt.is_guilty
            return
        for digest in suspects:
            quarantine.begin_trial(log, digest, f"trial {now}", now)
    if prompt.is_guilty:
        world.result.sent_at.append(now)
    target = world.rng.choice(list(world.running))
    begins_at = now + world.rng.uniform(*_BEGIN_S)
    world.running[target].append((prompt, begins_at))


def _advance(world: _World, target: str, now: float) -> None:
    work = world.running[target]
    if any(p.is_guilty and now >= begins_at for p, begins_at in work):
        _crash(world, target, now)
        return
    for prompt, begins_at in work:
        if now - begins_at >= _PROOF_S:
            crash_evidence.record_written(
                world.log, prompt.parts, begins_at, now
            )
        if now - begins_at >= _ANSWER_S:
            crash_evidence.record_completion(world.log, prompt.digest, now)
    world.running[target] = [w for w in work if now - w[1] < _ANSWER_S]


def _crash(world: _World, target: str, now: float) -> None:
    world.result.crashed_at.append(now)
    for prompt, begins_at in world.running.pop(target):
        if crash_evidence.is_at_begin(begins_at, now):
            for digest in (prompt.digest, *prompt.parts):
                crash_evidence.record_crash(world.log, digest, target, now)
        if not prompt.is_guilty:
            world.due.append((now + _REPEAT_S, prompt))
    name, _, start = target.partition("@")
    successor = f"{name}@{int(start) + 1}"
    world.starting.append((now + _RESTART_S, successor))
