"""Which instances follow the tables."""

import unittest

from copperloom.ingress import watchers
from copperloom.ingress.state import IngressState
from copperloom.ingress.tests import fixtures


class LastInstanceTest(unittest.TestCase):
    def test_last_one_of_a_large_fleet_reads(self):
        """All other members are gone; only rows tell that there were many.

        It took its data centre for empty and never read the tables.
        """
        state = IngressState(fixtures.own_settings("127.0.0.1", "127.0.0.1:9"))
        state.reported_fleet_size = 100
        self.assertTrue(watchers.is_watcher(state, 0.0))
