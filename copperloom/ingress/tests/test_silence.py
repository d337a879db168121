"""Tests when silent engines are given up, with real targets and instances."""

import unittest
from unittest import mock

from copperloom.decisions import spillover, timeouts
from copperloom.ingress.tests import fixtures
from copperloom.platform.standins.target import Fault

_LONG = 60_000
_LIMIT_S = 5.0
_LAST_RESORT_S = timeouts.LAST_RESORT_LIMIT_SHARE * _LIMIT_S


async def _retry_after_s(case, busy: float, prompt: int, path: str) -> float:
    """Calls while all engines are mute; returns when it is sent again."""
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
            system, path, prompt=prompt, wait_ms=int(_LIMIT_S * 1000)
        )
    first, second = sorted(
        seen.at
        for target in system.targets.values()
        for seen in target.seen
        if seen.id == answer.id
    )
    return second - first


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    async def test_long_prompt_waits_while_engines_are_full(self):
        """Guards against retries that delay all prompts of a burst."""
        seconds = await _retry_after_s(self, 1.5, _LONG, "/long/x")
        self.assertGreater(seconds, _LAST_RESORT_S - 0.1)

    async def test_long_prompt_is_sent_again_while_engines_are_free(self):
        """Guards against waiting for a faulty engine beyond the objective."""
        seconds = await _retry_after_s(self, 0.1, _LONG, "/long/x")
        self.assertLess(seconds, _LAST_RESORT_S - 0.1)

    async def test_short_prompt_is_sent_again_under_any_load(self):
        """Its prefill delays nobody, and its caller leaves soon."""
        seconds = await _retry_after_s(self, 1.5, 1_000, "/chat/x")
        self.assertLess(seconds, 1.7)


if __name__ == "__main__":
    unittest.main()
