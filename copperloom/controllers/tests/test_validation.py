"""What an operator can get wrong in one change."""

import unittest

from copperloom import configuration, exception
from copperloom.controllers import snapshot, validation
from copperloom.controllers.tests import fixtures

_PRESET = ("preset/peak", {"name": "peak"})
_CURRENT = ("in_force/current", {"preset": "peak"})


def _configured() -> configuration.Configuration:
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
    def refused(self, puts=(), deletes=(), cfg=None):
        with self.assertRaises(exception.MalformedRequestError):
            validation.check(cfg or _configured(), puts, deletes)

    def test_valid_changes_pass(self):
        cfg = configuration.Configuration()
        validation.check(cfg, (_PRESET, _CURRENT), ())
        validation.check(_configured(), (), ("target/t",))

    def test_preset_must_exist_to_be_in_force(self):
        self.refused((("in_force/current", {"preset": "none"}),))
        empty = configuration.Configuration()
        self.refused((_CURRENT, _PRESET), cfg=empty)

    def test_preset_in_force_stays(self):
        self.refused((), ("preset/peak",))

    def test_organisation_in_use_stays(self):
        self.refused((), ("organisation/org",))

    def test_bad_values(self):
        cases = {
            "address": ("target/t", {"name": "t", "address": "host:1"}),
            "port": ("target/t", {"name": "t", "address": "127.0.0.1:0"}),
            "name": ("target/t", {"name": "u", "address": "127.0.0.1:1"}),
            "kind": ("zone/t", {"name": "t"}),
            "digest": ("organisation/o", {"name": "o", "token_sha256": "x"}),
            "share": ("preset/p", {"name": "p", "long_share": 2.0}),
            "who": (
                "deployment/e",
                {"name": "e", "model": "m", "organisations": ["nobody"]},
            ),
            "key": ("preset/p q", {"name": "p q"}),
        }
        for name, pair in cases.items():
            with self.subTest(name):
                self.refused((pair,))

    def test_two_organisations_can_not_share_a_token(self):
        _, value = fixtures.organisation()
        self.refused((("organisation/twin", {**value, "name": "twin"}),))

    def test_snapshot_gives_the_same_configuration(self):
        cfg = _configured()
        self.assertEqual(snapshot.decode(snapshot.encode(cfg)), cfg)
