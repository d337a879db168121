"""Tests registrations of other writers, which name no target."""

import base64
import unittest
from unittest import mock

from copperloom import logs
from copperloom.ingress.tests import fixtures

_SECRET = "content-of-another"


def _rows(target) -> dict[str, bytes | dict]:
    row = target.registration("plain")
    lacking = {k: v for k, v in row.items() if k != "slots"}
    return {
        "lacks": lacking,
        "type": row | {"slots": "many"},
        "state": row | {"state": _SECRET},
        "address": row | {"address": _SECRET},
        "bytes": b"\xff\xfe" + _SECRET.encode(),
        "deep": b'{"x":' + b"[" * 50_000,
        "list": b"[]",
        "key\n\x00": b"{}",
    }


class OtherWritersTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_is_logged_once_and_the_others_hold(self):
        """Guards against one entry that stops the reading of the table."""
        system = await fixtures.start_system(self, engines=0, plain=2)
        state = system.fronts[0].entry
        rows = _rows(system.targets["plain-0"])
        with mock.patch.object(logs, "event") as event:
            for key, row in rows.items():
                system.store.put("servers", key, row)
            await system.add_target("plain-2", "plain")
            await fixtures.until(lambda: "plain-2" in state.targets.entries)
            system.store.forget_history()
            await system.add_target("plain-3", "plain")
            await fixtures.until(lambda: "plain-3" in state.targets.entries)
        self.assertEqual(len(state.targets.entries), 4)
        logged = [
            call.kwargs["key"]
            for call in event.call_args_list
            if call.args[0] == "target_unreadable"
        ]
        self.assertCountEqual(logged, map(ascii, rows))
        self.assertNotIn(_SECRET, repr(event.call_args_list))

    async def test_target_whose_row_becomes_unreadable_is_none(self):
        """Guards against a last resort, as if its row had lapsed."""
        system = await fixtures.start_system(self, engines=0, plain=1)
        state = system.fronts[0].entry
        state.targets.outage_at = float("inf")
        system.store.put("servers", "plain-0", b"\xff")
        await fixtures.until(lambda: not state.targets.entries)
        answer = await fixtures.call(system, "/write/x")
        self.assertEqual(answer.headers["Copperloom-Error"], "3004")

    async def test_value_that_is_no_base64_is_logged(self):
        """Guards against a row that counts as removed."""
        system = await fixtures.start_system(self, engines=0, plain=2)
        state = system.fronts[0].entry
        with mock.patch.object(logs, "event") as event:
            system.store._set("servers", "plain-0", "%%%")
            await fixtures.until(lambda: len(state.targets.entries) == 1)
        names = [call.args[0] for call in event.call_args_list]
        self.assertIn("target_unreadable", names)
        self.assertRaises(ValueError, base64.b64decode, "%%%", validate=True)
