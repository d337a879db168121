"""Simulated engines on an event heap, for tests without sockets.

An engine works in steps: each step prefills a chunk of the waiting prompts,
highest priority first, and generates one token of every decoding stream. KV
memory is allocated when a stream enters the batch and freed when it ends.
"""

import dataclasses
import heapq
import itertools
from collections.abc import Callable

from copperloom.targets import interface

STEP_S = 0.02
PREFILL_S = 50e-6
DECODE_S = 0.0003
CHUNK_TOKENS = 4096
MAX_BATCH = 64
CACHED_PREFIXES = 8
CACHED_SHARE = 0.75


class Clock:
    """An event loop with simulated time."""

    def __init__(self):
        self.now = 0.0
        self.heap = []
        self.sequence = itertools.count()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        item = (max(when, self.now), next(self.sequence), callback)
        heapq.heappush(self.heap, item)

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
        self.now = until


@dataclasses.dataclass(eq=False)
class Stream:
    """A stream at an engine; `answer` is 0 if it only holds memory."""

    name: str
    need: int
    prefill: int
    answer: int
    priority: int
    prefix: str
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    order: int = 0
    emitted: int = 0


class Engine:
    """A simulated engine; `slow` multiplies the duration of its steps."""

    def __init__(self, clock: Clock, name: str, kv: int, slow: float = 1.0):
        self.clock = clock
        self.name = name
        self.kv = kv
        self.slow = slow
        self.down = False
        self.used = 0
        self.max_used = 0
        self.busy = False
        self.waiting: list[Stream] = []
        self.batch: list[Stream] = []
        self.cache: list[str] = []
        self.hits = 0
        self.sequence = itertools.count()

    def open(self, stream: Stream) -> bool:
        """Accepts a stream; returns False if the engine is unreachable."""
        if self.down:
            return False
        stream.order = next(self.sequence)
        self.waiting.append(stream)
        self.waiting.sort(key=lambda s: (-s.priority, s.order))
        self._wake()
        return True

    def close(self, name: str) -> None:
        """Cancels a stream and frees its memory."""
        self.waiting = [s for s in self.waiting if s.name != name]
        for stream in [s for s in self.batch if s.name == name]:
            self._remove_from_batch(stream)
        self._wake()

    def load(self) -> interface.LoadReport:
        prefill = sum(s.prefill for s in self.waiting + self.batch)
        return interface.LoadReport(
            "boot",
            self.used,
            self.kv,
            len(self.batch),
            len(self.waiting),
            prefill,
            0.0,
        )

    def streams(self) -> list[interface.StreamInfo]:
        return [
            interface.StreamInfo(s.name, "", s.need, True, 0.0)
            for s in self.batch
        ]

    def _wake(self):
        if not self.busy and not self.down and (self.waiting or self.batch):
            self.busy = True
            self._start_step()

    def _start_step(self):
        while self.waiting and len(self.batch) < MAX_BATCH:
            if self.used + self.waiting[0].need > self.kv:
                break
            self._add_to_batch(self.waiting.pop(0))
        prompts = [s for s in self.batch if s.prefill > 0]
        prompts.sort(key=lambda s: (-s.priority, s.order))
        decoding = [s for s in self.batch if s.prefill <= 0 and s.answer]
        budget = CHUNK_TOKENS
        for stream in prompts:
            prefilled = min(budget, stream.prefill)
            stream.prefill -= prefilled
            budget -= prefilled
        if not prompts and not decoding:
            self.busy = False
            return
        duration_s = STEP_S + DECODE_S * len(decoding)
        duration_s += PREFILL_S * (CHUNK_TOKENS - budget)
        ready = [s for s in prompts if s.prefill <= 0]
        when = self.clock.now + duration_s * self.slow
        self.clock.at(when, lambda: self._finish_step(ready, decoding))

    def _finish_step(self, ready, decoding):
        for stream in ready + decoding:
            if stream not in self.batch:
                continue
            stream.emitted += 1
            if stream.emitted == 1:
                stream.on_first()
            if stream.answer and stream.emitted >= stream.answer:
                self._remove_from_batch(stream)
                stream.on_end()
        self._start_step()

    def _add_to_batch(self, stream):
        self.batch.append(stream)
        self.used += stream.need
        self.max_used = max(self.max_used, self.used)
        if not stream.prefix:
            return
        if stream.prefix in self.cache:
            self.hits += 1
            self.cache.remove(stream.prefix)
            stream.prefill -= int(stream.prefill * CACHED_SHARE)
        self.cache.append(stream.prefix)
        del self.cache[:-CACHED_PREFIXES]

    def _remove_from_batch(self, stream):
        if stream in self.batch:
            self.batch.remove(stream)
            self.used -= stream.need
