"""Guards against duplicate result codes and codes missing in the docs."""

import pathlib
import unittest

from copperloom import exception

_TABLE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "ERRORS.md"


def error_classes() -> list[type[exception.CopperloomError]]:
    exported = [getattr(exception, name) for name in exception.__all__]
    return [
        cls
        for cls in exported
        if issubclass(cls, exception.CopperloomError)
        and cls is not exception.CopperloomError
    ]


class ExceptionTest(unittest.TestCase):
    def test_codes_are_unique(self):
        codes = [cls.code for cls in error_classes()]
        self.assertEqual(len(codes), len(set(codes)))

    def test_docs_list_each_code(self):
        text = _TABLE.read_text()
        for cls in error_classes():
            name = cls.__name__.removesuffix("Error")
            row = f"| {cls.code} | {name} | {cls.status} | {cls.run.value} |"
            with self.subTest(name):
                self.assertIn(row, text)
