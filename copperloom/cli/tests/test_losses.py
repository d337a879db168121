"""Tests of the breakdown of lost worth, from logs and a report."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from copperloom import exception
from copperloom.cli import losses, operator, trace
from copperloom.platform import report

_LINE = "2026-05-08T23:50:{:05.2f} level=INFO event={} request={} {} instance=f"
_SERVED = "outcome=answered status=200 code=0 seconds=1 sends={} {}"


def _lines(*rows) -> list[trace.Line]:
    return [
        trace.parse(_LINE.format(number, *row))
        for number, row in enumerate(rows)
    ]


def _outcome(request: str, tokens: int, *, sends: int = 1, more: str = ""):
    fields = _SERVED.format(sends, more)
    return ("outcome", request, f"{fields} prompt_tokens={tokens}")


def _placed(request: str, tokens: int, predicted_s: float):
    fields = f"prompt_tokens={tokens} predicted_s={predicted_s}"
    return ("placed", request, fields)


class FindTest(unittest.TestCase):
    def test_lost_worth_is_summed_by_reason(self):
        """A short prompt is worth 1, one of 95,000 tokens is worth 10."""
        found = losses.find(
            _lines(
                _placed("in-time", 5000, 0.1),
                _outcome("in-time", 5000),
                _placed("surprised", 5000, 0.1),
                _outcome("surprised", 5000, more="late=first aim_s=0.3"),
                _placed("foreseen", 95_000, 2.0),
                _outcome("foreseen", 95_000, more="late=first aim_s=1.5"),
                _placed("again", 5000, 0.1),
                _outcome("again", 5000, sends=2, more="late=pause aim_s=0.25"),
                _placed("died", 95_000, 0.1),
                ("outcome", "denied", "outcome=X status=401 sends=0"),
            )
        )
        by_reason = {loss.reason: (loss.requests, loss.share) for loss in found}
        total = 23.0
        self.assertEqual(
            by_reason,
            {
                "its instance died": (1, 10 / total),
                "late by its first event, foreseen": (1, 7.5 / total),
                "late by its first event, unforeseen": (1, 0.75 / total),
                "late by its pause, sent again": (1, 0.75 / total),
            },
        )

    def test_reason_of_unserved_requests(self):
        found = losses.find(
            _lines(
                ("outcome", "r", "outcome=Overloaded status=503 sends=0"),
                ("outcome", "f", "outcome=answered status=500 sends=1"),
                ("outcome", "g", "outcome=caller_gone status=0 sends=1"),
            )
        )
        self.assertEqual(
            {loss.reason for loss in found},
            {"503 Overloaded", "500 of its target", "its caller left"},
        )


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        rows = [
            _placed("a", 5000, 0.1),
            _outcome("a", 5000),
            _placed("b", 5000, 0.1),
            _outcome("b", 5000, more="late=pause aim_s=0.25"),
        ]
        text = "\n".join(_LINE.format(n, *row) for n, row in enumerate(rows))
        self.log = self.folder / "all.log"
        self.log.write_text(f"not a line of ours\n{text}\n")

    def _report(self, document) -> str:
        path = self.folder / "report.json"
        path.write_text(json.dumps(document))
        return str(path)

    def test_rows_add_up_to_the_loss_in_the_report(self):
        path = self._report(
            {
                "G": 0.46,
                "parts": [["whole day", 0.6, 0.6], ["worst", 0.4, 0.3]],
                "prices": [["memory", 12.0, 0.02], ["probes", 0.0, 0.0]],
                "unheard": 1,
            }
        )
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            status = operator.main(["losses", "--report", path, str(self.log)])
        self.assertEqual(status, operator.DONE)
        text = out.getvalue()
        self.assertIn(" 0.3750        1  short    late by its pause", text)
        self.assertIn(" 0.0250                    in no log", text)
        self.assertIn(" 0.2400  whole day (0.6 x 0.4000)", text)
        self.assertIn(" 0.0200  price: memory", text)
        self.assertIn(" 0.5400  missing to 1", text)

    def test_malformed_report_raises_an_error(self):
        for document in ({}, [], {"G": "x", "parts": [], "prices": []}):
            with self.assertRaises(exception.SettingsError):
                report.load(self._report(document))
