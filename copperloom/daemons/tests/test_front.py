"""Tests the reload of the platform's settings."""

import json
import pathlib
import tempfile
import unittest

from copperloom.daemons import front
from copperloom.ingress import state
from copperloom.platform import settings
from copperloom.platform.standins import wire

_VALID = wire.instance_settings(
    "front-1",
    "127.0.0.1",
    (1, 2, 3),
    "10.0.0.1:80",
    bounds={"grace_s": 8.0, "retry_budget_ratio": 0.2},
    limits={"link_mbps": 20.0},
)


class ReloadTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "settings.json"
        self.path.write_text(json.dumps(_VALID))
        self.entry = state.IngressState(settings.load(str(self.path)))

    def test_changed_settings_are_applied(self):
        changed = _VALID | {
            "bounds": {"grace_s": 5.0, "retry_budget_ratio": 0.1},
            "platform": {"address": "10.0.0.2:80"},
            "unheard-of": {"field": 1},
        }
        self.path.write_text(json.dumps(changed))
        front.reload(self.entry, str(self.path))
        self.assertEqual(self.entry.settings.grace_s, 5.0)
        self.assertEqual(self.entry.store.address, "10.0.0.2:80")
        self.assertEqual(self.entry.budget.policy.ratio, 0.1)

    def test_invalid_file_changes_nothing(self):
        wrong_type = json.dumps(_VALID | {"listen": 5}).encode()
        for content in (b"", b"{", b"{}", b"\xff", wrong_type):
            self.path.write_bytes(content)
            front.reload(self.entry, str(self.path))
            self.assertEqual(self.entry.settings.grace_s, 8.0)

    def test_link_rate_is_converted_to_bytes(self):
        self.assertEqual(self.entry.settings.link_bytes_s, 2_500_000.0)
