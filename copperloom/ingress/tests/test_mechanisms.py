"""Tests that each mechanism can be turned off."""

import importlib
import pathlib
import tempfile
import unittest
from unittest import mock

from copperloom import exception, settings
from copperloom.daemons import front
from copperloom.ingress import mechanisms


def _constant(switch: mechanisms.Switch):
    module = importlib.import_module(f"copperloom.{switch.module}")
    return module, getattr(module, switch.constant)


class SwitchTest(unittest.TestCase):
    def test_each_mechanism_is_on_by_default(self):
        for name, switches in mechanisms.MECHANISMS.items():
            for switch in switches:
                with self.subTest(name):
                    self.assertNotEqual(_constant(switch)[1], switch.off)

    def test_turn_off_sets_the_constant(self):
        switch = mechanisms.MECHANISMS["gathering"][0]
        module, value = _constant(switch)
        with mock.patch.object(module, switch.constant, value):
            mechanisms.turn_off(("gathering",))
            self.assertEqual(_constant(switch)[1], switch.off)

    def test_settings_accept_known_mechanisms_only(self):
        self.assertEqual(self._load("waiting, parts"), ("waiting", "parts"))
        with self.assertRaises(exception.SettingsError):
            self._load("waiting, luck")

    def _load(self, names: str) -> tuple[str, ...]:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "front.ini"
            path.write_text(f"[decisions]\ndisable = {names}\n")
            loaded = settings.load(str(path), front.FrontSettings)
        return loaded.decisions.disable
