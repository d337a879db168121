"""Tests the settings reader."""

import pathlib
import tempfile
import unittest

from copperloom import exception, settings
from copperloom.daemons import options

_VALID_TEXT = "[entry]\ninstance = e1\n[platform]\naddress = 127.0.0.1:9\n"


def load_text(case: unittest.TestCase, text: str) -> options.EntrySettings:
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "entry.ini"
    path.write_text(text)
    return settings.load(str(path), options.EntrySettings)


class SettingsTest(unittest.TestCase):
    def assert_error(self, text: str, *words: str) -> None:
        with self.assertRaises(exception.SettingsError) as caught:
            load_text(self, text)
        for word in words:
            self.assertIn(word, str(caught.exception))

    def test_defaults(self):
        loaded = load_text(self, _VALID_TEXT)
        self.assertEqual(loaded.entry.instance, "e1")
        self.assertEqual(loaded.platform.timeout_s, 2.0)

    def test_unknown_key(self):
        self.assert_error(
            _VALID_TEXT + "[limits]\nbody = 3\n",
            "entry.ini",
            "[limits]",
            "body",
        )

    def test_unknown_section(self):
        self.assert_error(
            _VALID_TEXT + "[limit]\n", "[limit]", "unknown section"
        )

    def test_out_of_range(self):
        self.assert_error(
            _VALID_TEXT + "[limits]\nbody_bytes = 3\n", "body_bytes", "below"
        )

    def test_not_a_number(self):
        self.assert_error(
            _VALID_TEXT + "[limits]\nbody_bytes = x\n", "body_bytes", "[limits]"
        )

    def test_not_finite(self):
        self.assert_error(
            _VALID_TEXT + "[membership]\ndead_s = nan\n", "dead_s", "finite"
        )

    def test_invalid_address(self):
        for address in ("1", "localhost:80", "1.2.3.4:99999", "1.2.3.4:-1"):
            with self.subTest(address):
                self.assert_error(
                    f"[entry]\ninstance = a\nlisten = {address}\n"
                    "[platform]\naddress = 127.0.0.1:9\n",
                    "listen",
                    "IP:port",
                )

    def test_missing_required_key(self):
        self.assert_error("[entry]\ninstance = a\n", "address", "must be set")

    def test_explain_shows_unit_and_range(self):
        text = settings.explain(options.EntrySettings)
        self.assertIn("# Largest body. (unit: bytes; range: 1000", text)
