"""Guards against requests that a planned stop of an entry cuts."""

import asyncio
import time
import unittest

from copperloom.history import Outcome, PlannedStop
from copperloom.tests import callers, systems, trials
from copperloom.tests.callers import Ask

_STOP_S = 20.0
_LAG_S = 0.8


class StopsTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = systems.start_system(cls, entries=1, engines=2)

    async def asyncSetUp(self):
        self.trial = await trials.start_trial(self, self.system)

    async def stop(self, entry: str, *, signals: int = 1) -> None:
        """Requests a planned stop of an entry and waits until it exits."""
        process = self.system.entries[entry]
        since = time.monotonic()
        for _ in range(signals):
            process.terminate()
            await asyncio.sleep(0.2)
        await trials.until(
            lambda: not process.running(), _STOP_S, f"{entry} exited"
        )
        stop = PlannedStop(entry, since, time.monotonic())
        self.trial.history.stops.append(stop)

    async def call_until_closed(self, entry: str) -> float:
        """Makes short calls until the entry is unreachable.

        Returns:
            Monotonic time at which the last successful call began.
        """
        last = 0.0
        while True:
            call = await trials.ask(self.trial, entry, Ask("knock"))
            if call.outcome in (Outcome.UNREACHED, Outcome.CUT):
                return last
            last = call.invoked

    async def test_streams_and_kept_connections(self):
        """Guards against cut streams and refused new requests during a stop.

        Requests keep arriving for a while, and the signal is sent twice.
        """
        await trials.extra_entry(
            self, self.trial, "e7", entry={"drain_lag_s": _LAG_S}
        )
        stream, received = trials.begin(
            self.trial, "e7", Ask("long", tokens=330, limit_s=20)
        )
        await trials.until(lambda: received.text, 9, "first token")
        short_calls = [
            asyncio.create_task(self.call_until_closed("e7")) for _ in range(3)
        ]
        await asyncio.sleep(0.3)
        await self.stop("e7", signals=2)
        self.assertEqual((await stream).outcome, Outcome.ANSWERED)
        since = self.trial.history.stops[0].time
        last = min(await asyncio.gather(*short_calls))
        self.assertGreater(last, since + _LAG_S / 2)
        await trials.settle(self, self.trial)

    async def test_work_waiting_for_memory(self):
        """Guards against dropping the queued work of a stopping entry."""
        await trials.extra_entry(self, self.trial, "e8")
        for i in range(30):
            req = Ask(f"queued {i}", tokens=30, limit_s=20)
            trials.begin(self.trial, "e8", req)
        await asyncio.sleep(0.3)
        await self.stop("e8")
        await trials.settle(self, self.trial)
        outcomes = {call.outcome for call in self.trial.history.calls}
        self.assertEqual(outcomes, {Outcome.ANSWERED})


class DeafCallerTest(unittest.IsolatedAsyncioTestCase):
    async def test_caller_that_reads_nothing(self):
        """Guards against leaked memory and a blocked stop by a stalled caller.

        Its buffers are full, so that not even an error can be sent.
        """
        system = systems.start_system(
            self, entries=1, engines=1, services=0, engine={"time_scale": 300}
        )
        trial = await trials.start_trial(self, system)
        req = Ask("deaf", tokens=60_000, limit_s=5)
        caller = callers.send_and_read_nothing(system.entries["e0"], req)
        self.addCleanup(caller.close)
        engine = system.engines["g0"]
        await trials.until(lambda: engine.truth()["runs"], 5, "work started")
        await trials.until(
            lambda: not trials.in_use(engine), _STOP_S, "engine memory released"
        )
        entry = system.entries["e0"]
        entry.terminate()
        await trials.until(lambda: not entry.running(), _STOP_S, "e0 exited")
        await trials.settle(self, trial)


if __name__ == "__main__":
    unittest.main()
