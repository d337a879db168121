"""Tests that the table of result codes is whole and unambiguous."""

import pathlib
import unittest

from copperloom import exception

_TABLE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "ERRORS.md"


def error_classes() -> list[type[exception.CopperloomError]]:
    found = [getattr(exception, name) for name in exception.__all__]
    return [
        cls
        for cls in found
        if issubclass(cls, exception.CopperloomError)
        and cls is not exception.CopperloomError
    ]


class ExceptionTest(unittest.TestCase):
    def test_codes_differ(self):
        codes = [cls.code for cls in error_classes()]
        self.assertEqual(len(codes), len(set(codes)))

    def test_table_lists_each_code(self):
        text = _TABLE.read_text()
        for cls in error_classes():
            name = cls.__name__.removesuffix("Error")
            row = f"| {cls.code} | {name} | {cls.status} | {cls.run.value} |"
            with self.subTest(name):
                self.assertIn(row, text)
