"""Tests how the headers of callers are parsed."""

import unittest

import multidict

from copperloom.platform import headers

_NAME = "Copperloom-Prompt-Prefix"


def _parts(*values: str) -> tuple[str, ...]:
    given = multidict.CIMultiDict((_NAME, value) for value in values)
    return headers.read_prompt_parts(given)


class PromptPartsTest(unittest.TestCase):
    def test_last_part_is_the_requests_own(self):
        self.assertEqual(_parts("5c1e:800,91bd:410,e440:250"), ("5c1e", "91bd"))
        self.assertEqual(_parts("5c1e:800"), ())
        self.assertEqual(_parts(), ())

    def test_one_id_has_one_form(self):
        """Guards against a part that is unknown again in other letters."""
        self.assertEqual(
            _parts("005C1E:800, 5c1e :1,000:2,last:1"), ("5c1e", "0")
        )

    def test_malformed_entries_are_left_out(self):
        text = f"xyz:1,:5,,5c1e,{'a' * 500}:1,last:1"
        self.assertEqual(_parts(text), ("5c1e",))

    def test_values_of_several_headers_are_joined(self):
        self.assertEqual(_parts("a:1,b:2", "c:3,d:4"), ("a", "b", "c"))

    def test_number_is_bounded(self):
        """Guards against callers that use up memory by many parts."""
        text = ",".join(f"{n:x}:1" for n in range(5000))
        self.assertLessEqual(len(_parts(text)), 64)
