"""Tests that a request's outcome is explained from the logs of instances."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from copperloom.cli import operator, trace

_LINE = "2026-05-08T23:50:{} level=INFO event={} {} instance={}"
_FIRST = [
    ("01.10", "started", "boot=b1", "front-1"),
    (
        "02.50",
        "placed",
        'request=r1 target=t-1 helpers="t-2,t-3" predicted_s=0.3',
        "front-1",
    ),
    ("02.60", "target_changed", "target=t-1 state=draining", "front-1"),
    ("02.61", "target_changed", "target=t-9 state=draining", "front-1"),
    (
        "02.70",
        "attempt_failed",
        'request=r1 target=t-1 culprit=t-2 code=4004 error="stands still"',
        "front-1",
    ),
    (
        "03.00",
        "outcome",
        "request=r1 outcome=StreamBroken status=502 code=4004 seconds=0.5 "
        'sends=1 target=t-1 reason="it broke off"',
        "front-1",
    ),
    ("03.10", "placed", "request=r2 target=t-1", "front-1"),
]
_SECOND = [
    ("02.65", "store_lost", "table=servers", "front-2"),
    ("04.00", "placed", "request=r2 target=t-4", "front-2"),
    ("05.00", "started", "boot=b9", "front-2"),
]


def _write_log(case, name: str, rows) -> str:
    folder = tempfile.mkdtemp()
    path = pathlib.Path(folder) / name
    text = "\n".join(_LINE.format(*row) for row in rows)
    path.write_text("not a line of ours\n" + text + "\n")
    case.addCleanup(path.unlink)
    return str(path)


class TraceTest(unittest.TestCase):
    def setUp(self):
        self.logs = [
            _write_log(self, "front-2.log", _SECOND),
            _write_log(self, "front-1.log", _FIRST),
        ]

    def test_lines_are_sorted_and_include_the_context(self):
        found = trace.find(trace.read(self.logs), "r1")
        self.assertEqual(
            [line.event for line in found],
            ["placed", "target_changed", "attempt_failed", "outcome"],
        )

    def test_explanation_names_the_failed_target(self):
        found = trace.find(trace.read(self.logs), "r1")
        self.assertEqual(
            trace.explain(found),
            "502 by code 4004 after 0.5 s: it broke off; sent 1 times, last "
            "to t-1; "
            "t-2 failed it: stands still",
        )

    def test_quarantined_request_shows_the_evidence(self):
        """Guards against a refusal that on-call engineers can't explain."""
        rows = [
            ("01.00", "crash_evidence", "digest=d1 crashes=t-1", "front-2"),
            ("01.10", "target_ended", "request=r0 digest=d1", "front-2"),
            ("01.20", "crash_evidence", "digest=d2 crashes=t-2", "front-2"),
            (
                "02.00",
                "outcome",
                "request=r9 outcome=RequestQuarantined status=503 code=3007 "
                'seconds=0.1 sends=0 reason="crashed" digest=d1',
                "front-1",
            ),
            ("03.00", "crash_evidence", "digest=d1 crashes=t-3", "front-2"),
        ]
        log = _write_log(self, "quarantine.log", rows)
        found = trace.find(trace.read([log]), "r9")
        self.assertEqual(
            [line.event for line in found],
            ["crash_evidence", "target_ended", "outcome"],
        )

    def test_refusal_since_targets_drain_shows_what_they_said(self):
        """Guards against a refusal that no target's answer explains."""
        said = "request={} target={} service=s result=drains text=1"
        rows = [
            ("01.00", "drain_notice", said.format("r1", "t-1@1"), "front-2"),
            ("01.10", "drain_notice", said.format("r2", "t-2@1"), "front-1"),
            ("01.20", "drain_notice", said.format("r3", "t-2@1"), "front-2"),
            (
                "02.00",
                "outcome",
                "request=r9 outcome=TargetsDraining status=503 code=3009 "
                'seconds=0.1 sends=0 service=s reason="all drain"',
                "front-1",
            ),
            ("03.00", "drain_notice", said.format("r4", "t-3@1"), "front-2"),
        ]
        log = _write_log(self, "draining.log", rows)
        found = trace.find(trace.read([log]), "r9")
        self.assertEqual(
            [line.fields["request"] for line in found], ["r1", "r3", "r9"]
        )

    def test_refusal_since_targets_back_off_shows_their_answers(self):
        """Guards against the answers that other instances got."""
        said = "request={} target=t-1@1 service=s result=asked text=9"
        rows = [
            ("01.00", "backoff_requested", said.format("r1"), "front-2"),
            ("01.10", "backoff_requested", said.format("r2"), "front-1"),
            (
                "02.00",
                "outcome",
                "request=r9 outcome=TargetsBackingOff status=503 code=3010 "
                'seconds=0.1 sends=0 service=s reason="all back off"',
                "front-1",
            ),
        ]
        log = _write_log(self, "turned-away.log", rows)
        found = trace.find(trace.read([log]), "r9")
        self.assertEqual([x.fields["request"] for x in found], ["r2", "r9"])

    def test_killed_instance_explains_a_missing_outcome(self):
        """The process was killed while it handled the request."""
        found = trace.find(trace.read(self.logs), "r2")
        self.assertIn(
            "front-2 was killed, and started at 2026-05-08T23:50:05.00",
            trace.explain(found),
        )

    def test_truncated_log_explains_a_missing_outcome(self):
        found = trace.find(trace.read(self.logs[1:]), "r2")
        self.assertIn("the log of front-1 ends", trace.explain(found))

    def test_command_prints_the_explanation(self):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            status = operator.main(["trace", "r1", *self.logs])
        self.assertEqual(status, operator.DONE)
        self.assertIn("t-2 failed it", out.getvalue())
        with contextlib.redirect_stderr(io.StringIO()):
            status = operator.main(["trace", "r7", *self.logs])
            self.assertEqual(status, operator.NOT_DONE)
            status = operator.main(["trace", "r1", "/nowhere"])
            self.assertEqual(status, operator.USAGE)
