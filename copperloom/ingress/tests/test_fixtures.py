"""Tests the fixtures of the ingress tests."""

import unittest

from copperloom.ingress.tests import fixtures

_PORTS = 1000


class FreePortTest(unittest.TestCase):
    def test_each_port_is_returned_once(self):
        """An instance must not get one port for two of its listeners."""
        ports = [fixtures.free_port() for _ in range(_PORTS)]
        self.assertEqual(len(set(ports)), _PORTS)
