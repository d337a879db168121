"""Tests the validation of changes and the encoding of snapshots."""

import unittest

from copperloom import configuration, exception
from copperloom.controllers import snapshot, validation
from copperloom.controllers.tests import fixtures

_PRESET = ("preset/peak", {"name": "peak"})
_CURRENT = ("in_force/current", {"preset": "peak"})


def _make_configuration() -> configuration.Configuration:
    puts = (
        fixtures.organisation(),
        ("deployment/d", {"name": "d", "model": "m", "organisations": ["org"]}),
        fixtures.target(),
        _PRESET,
        _CURRENT,
    )
    change = configuration.Change(1, "n", "o", puts)
    return configuration.apply(configuration.Configuration(), change)


class ValidationTest(unittest.TestCase):
    def assert_refused(self, puts=(), deletes=(), cfg=None):
        with self.assertRaises(exception.MalformedRequestError):
            validation.check(cfg or _make_configuration(), puts, deletes)

    def test_valid_changes_are_accepted(self):
        cfg = configuration.Configuration()
        validation.check(cfg, (_PRESET, _CURRENT), ())
        validation.check(_make_configuration(), (), ("target/t",))

    def test_preset_must_be_put_before_it_is_in_force(self):
        self.assert_refused((("in_force/current", {"preset": "none"}),))
        empty = configuration.Configuration()
        self.assert_refused((_CURRENT, _PRESET), cfg=empty)

    def test_preset_in_force_cannot_be_deleted(self):
        self.assert_refused((), ("preset/peak",))

    def test_organisation_in_use_cannot_be_deleted(self):
        self.assert_refused((), ("organisation/org",))

    def test_invalid_values_are_refused(self):
        cases = {
            "address": ("target/t", {"name": "t", "address": "host:1"}),
            "port": ("target/t", {"name": "t", "address": "127.0.0.1:0"}),
            "name": ("target/t", {"name": "u", "address": "127.0.0.1:1"}),
            "kind": ("zone/t", {"name": "t"}),
            "token": ("organisation/o", {"name": "o", "token_sha256": "x"}),
            "share": ("preset/p", {"name": "p", "long_share": 2.0}),
            "organisation": (
                "deployment/e",
                {"name": "e", "model": "m", "organisations": ["nobody"]},
            ),
            "key": ("preset/p q", {"name": "p q"}),
        }
        for name, pair in cases.items():
            with self.subTest(name):
                self.assert_refused((pair,))

    def test_organisations_cannot_share_token(self):
        _, value = fixtures.organisation()
        self.assert_refused((("organisation/twin", {**value, "name": "twin"}),))

    def test_snapshot_restores_configuration(self):
        cfg = _make_configuration()
        self.assertEqual(snapshot.decode(snapshot.encode(cfg)), cfg)
