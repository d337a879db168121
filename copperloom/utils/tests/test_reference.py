"""The pages that are made of the code say what the code says."""

import unittest

from copperloom.utils import reference


class ReferenceTest(unittest.TestCase):
    def test_pages_are_up_to_date(self):
        for path, text in reference.pages().items():
            with self.subTest(path.name):
                self.assertEqual(path.read_text(), text, "run `make docs`")
