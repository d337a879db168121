"""Tests which instances watch the tables."""

import unittest

from copperloom.ingress import watchers
from copperloom.ingress.state import IngressState
from copperloom.ingress.tests import fixtures


class LastInstanceTest(unittest.TestCase):
    def test_last_instance_of_a_large_fleet_watches(self):
        """Guards against a last instance that never reads the tables.

        Only the reported fleet size shows that there were other members.
        """
        state = IngressState(fixtures.own_settings("127.0.0.1", "127.0.0.1:9"))
        state.reported_fleet_size = 100
        self.assertTrue(watchers.is_watcher(state, 0.0))
