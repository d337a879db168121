"""Tests when silent engines are given up, with real targets and instances."""

import asyncio
import unittest
from unittest import mock

from copperloom.decisions import spillover
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins.target import Fault

_LONG = 60_000
# The first-event timeout of such a prompt is below this.
_CALL_MS = 3_500


def _sends(system, answer) -> int:
    return sum(
        seen.id == answer.id for t in system.targets.values() for seen in t.seen
    )


async def _call_mute(
    case, busy: float, prompt: int, path: str = "/long/x"
) -> int:
    """Calls while all engines are mute; returns the number of attempts."""
    system = await fixtures.start_system(case, engines=3, plain=1)
    route = fixtures.engine_route(
        "/long/", target_latency_ms=3_000, gap_aim_ms=1_000
    )
    system.store.put("op", "config", fixtures.routes(2, [route]))
    entry = system.fronts[0].entry
    await fixtures.until(lambda: entry.table.version == 2)
    for target in system.targets.values():
        target.always = Fault.MUTE
    with mock.patch.object(spillover, "utilisation", return_value=busy):
        answer = await fixtures.call(
            system, path, prompt=prompt, wait_ms=_CALL_MS
        )
    await asyncio.sleep(0)
    return _sends(system, answer)


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    async def test_long_prompt_is_not_sent_again_while_engines_are_full(self):
        """Guards against retries that delay all prompts of a burst."""
        self.assertEqual(await _call_mute(self, 1.5, _LONG), 1)

    async def test_long_prompt_is_sent_again_while_engines_are_free(self):
        """Guards against waiting for a faulty engine."""
        self.assertEqual(await _call_mute(self, 0.1, _LONG), 2)

    async def test_short_prompt_is_sent_again_under_any_load(self):
        """Its prefill delays nobody, and its caller leaves soon."""
        self.assertEqual(await _call_mute(self, 1.5, 1_000, "/chat/x"), 2)


if __name__ == "__main__":
    unittest.main()
