"""Tests that malformed input neither raises nor yields a target."""

import json
import unittest

import hypothesis
import multidict
from hypothesis import strategies as st

from copperloom import routing
from copperloom.ingress import events
from copperloom.ingress.tests import fixtures
from copperloom.platform import catalog, decoding, headers, store
from copperloom.versions import Version

_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
_VALID = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 3,
    "born": 7,
}


class LimitsTest(unittest.TestCase):
    def test_limits_of_callers_are_decoded(self):
        """Guards against a limit that the operators set in vain."""
        document = fixtures.routes() | {
            "limits": {
                "max_header_bytes": 9000,
                "max_body_bytes": 70_000,
                "header_timeout_ms": 2500,
                "idle_timeout_ms": 4000,
            }
        }
        table = decoding.decode_table(json.dumps(document).encode())
        expected = routing.RequestLimits(9000, 70_000, 2.5, 4.0)
        self.assertEqual(table.limits, expected)


class TargetTest(unittest.TestCase):
    def test_valid_row_is_decoded(self):
        entry = decoding.decode_target("t", json.dumps(_VALID).encode())
        self.assertEqual(entry.address, "10.0.0.1:80")
        self.assertEqual(entry.born_ms, 7)

    def test_row_that_lacks_a_field_yields_no_target(self):
        """Guards against rows of other writers that look like targets."""
        for field in sorted(_VALID.keys() - {"born"}):
            row = {k: v for k, v in _VALID.items() if k != field}
            raw = json.dumps(row).encode()
            self.assertIsNone(decoding.decode_target("t", raw), field)

    def test_cold_time_is_decoded(self):
        for cold_ms, cold_s in ((1500, 1.5), (0, 0.0), (-20, 0.0)):
            row = json.dumps(_VALID | {"cold_remaining_ms": cold_ms}).encode()
            entry = decoding.decode_target("t", row)
            self.assertEqual(entry.cold_remaining_s, cold_s)

    @hypothesis.given(st.binary())
    def test_arbitrary_bytes_yield_no_target(self, raw):
        self.assertIsNone(decoding.decode_target("t", raw))

    @hypothesis.given(st.sampled_from(sorted(_VALID)), _JSON)
    def test_field_of_arbitrary_value_yields_no_unusable_target(
        self, field, value
    ):
        row = json.dumps(_VALID | {field: value}).encode()
        entry = decoding.decode_target("t", row)
        if entry is not None:
            host, _, port = entry.address.rpartition(":")
            self.assertRegex(host, r"^\d+\.\d+\.\d+\.\d+$")
            self.assertTrue(0 < int(port) < 65_536)
            self.assertGreaterEqual(entry.slots, 1)


class TableTest(unittest.TestCase):
    def test_valid_document_is_decoded(self):
        raw = json.dumps(fixtures.routes(5)).encode()
        table = decoding.decode_table(raw)
        self.assertEqual(table.version, 5)
        route = routing.match(table, "DESK.example:80", "/chat/a/b")
        self.assertIs(route.kind, routing.RouteKind.STREAM)
        self.assertEqual(route.target_latency_s, 0.3)
        self.assertIsNone(routing.match(table, fixtures.HOST, "/chat"))
        self.assertEqual(table.organisations["key-1"].name, "lounge")

    def test_allowed_regions_are_decoded(self):
        home = fixtures.engine_route("/home/", allowed_regions=["r-1", "r-2"])
        anywhere = fixtures.engine_route("/any/", allowed_regions=[])
        document = fixtures.routes(2, [home, anywhere])
        document["tenants"][0]["allowed_regions"] = ["r-2"]
        table = decoding.decode_table(json.dumps(document).encode())
        route = routing.match(table, fixtures.HOST, "/home/")
        self.assertEqual(route.allowed_regions, {"r-1", "r-2"})
        route = routing.match(table, fixtures.HOST, "/any/")
        self.assertIsNone(route.allowed_regions)
        holder = table.organisations["key-1"]
        self.assertEqual(holder.allowed_regions, {"r-2"})

    def test_negative_cold_rate_counts_as_none(self):
        document = fixtures.routes(2)
        document["services"][0] |= {"cold_start_s": -1, "cold_per_s": -26.0}
        table = decoding.decode_table(json.dumps(document).encode())
        spec = table.services[document["services"][0]["name"]]
        self.assertEqual((spec.cold_start_s, spec.cold_per_s), (0.0, 0.0))

    @hypothesis.given(st.binary())
    def test_arbitrary_bytes_yield_no_table(self, raw):
        self.assertIsNone(decoding.decode_table(raw))

    @hypothesis.given(st.sampled_from(sorted(fixtures.routes())), _JSON)
    def test_field_of_arbitrary_value_does_not_raise(self, field, value):
        document = fixtures.routes() | {field: value}
        decoding.decode_table(json.dumps(document).encode())

    def test_route_of_unknown_kind_is_skipped(self):
        unknown = fixtures.engine_route("/odd/", kind="sideways")
        raw = json.dumps(fixtures.routes(2, [unknown])).encode()
        table = decoding.decode_table(raw)
        self.assertIsNone(routing.match(table, fixtures.HOST, "/odd/"))
        self.assertIsNotNone(routing.match(table, fixtures.HOST, "/chat/"))


class HeadersTest(unittest.TestCase):
    @hypothesis.given(
        st.dictionaries(
            st.sampled_from(
                [
                    "Copperloom-Token-Counts",
                    "Copperloom-Request-Deadline",
                    "Copperloom-Length-Hint",
                    "Copperloom-Instance-Load",
                    "Retry-After",
                ]
            ),
            st.text(),
        )
    )
    def test_arbitrary_header_values_do_not_raise(self, given):
        head = headers.read_head(given)
        self.assertGreaterEqual(head.prompt_tokens, 0)
        facts = headers.read_reply(given)
        self.assertFalse(facts.not_run)


class ColdTest(unittest.TestCase):
    def test_cold_time_of_an_answer(self):
        name = "Copperloom-Cold-Start-Ms"
        for text, cold_s in (
            ("250", 0.25),
            ("0", 0.0),
            ("-1", None),
            ("", None),
        ):
            facts = headers.read_reply(multidict.CIMultiDict({name: text}))
            self.assertEqual(facts.cold_s, cold_s)


class EvacuationTest(unittest.TestCase):
    def test_rows_of_evacuations_are_told_from_the_routes(self):
        rows = [
            store.StoredRow("config", b"{}", Version(0, 3)),
            store.StoredRow("evacuate/a", b"{}", Version(0, 4)),
            store.StoredRow("evacuate/b", None, Version(0, 5), removed=True),
            store.StoredRow("evacuate/", b"\xff", Version(0, 6)),
        ]
        found = catalog.evacuation_rows(store.Feed(tuple(rows), Version(0, 6)))
        self.assertEqual(
            found,
            [
                catalog.EvacuationRow("a", Version(0, 4), True),
                catalog.EvacuationRow("b", Version(0, 5), False),
                catalog.EvacuationRow("", Version(0, 6), True),
            ],
        )


def _limit(*values: str) -> float | None:
    given = multidict.CIMultiDict(("Server-Limit", v) for v in values)
    return headers.read_reply(given).limit_per_s


class LimitTest(unittest.TestCase):
    def test_decimal_numbers(self):
        for text, per_s in (("1.1", 1.1), ("7", 7.0), (" .5 ", 0.5), ("0", 0)):
            self.assertEqual(_limit(text), per_s)

    def test_malformed_limits_are_no_limits(self):
        """Guards against a target that stops an instance by its headers."""
        malformed = (
            "",
            " ",
            "-1",
            "+1",
            "x",
            "nan",
            "inf",
            "1e3",
            "1_0",
            "1 2",
        )
        for text in (*malformed, "\u0661", "0x1", ".", "1.1.1"):
            with self.subTest(text):
                self.assertIsNone(_limit(text))
                given = {"server-limit": text}
                self.assertEqual(headers.read_reply(given).limit_text, text)

    def test_huge_limits_are_bounded(self):
        for text in ("9" * 400, "1000000000000"):
            self.assertEqual(_limit(text), 1_000_000.0)

    def test_lowest_of_several_limits_counts(self):
        """Guards against a second header that opens the gate."""
        self.assertEqual(_limit("5", "1.5", "-3", "9"), 1.5)
        self.assertEqual(_limit("5, 1.5,x"), 1.5)

    def test_answer_without_a_limit(self):
        facts = headers.read_reply({})
        self.assertIsNone(facts.limit_text)
        self.assertIsNone(facts.limit_per_s)


def _retry_after(*values: str) -> float | None:
    given = multidict.CIMultiDict(("Retry-After", v) for v in values)
    return headers.read_reply(given).retry_after_s


class RetryAfterTest(unittest.TestCase):
    def test_seconds(self):
        for text, seconds in (("9", 9.0), (" 1.5 ", 1.5), ("0", 0.0)):
            self.assertEqual(_retry_after(text), seconds)

    def test_malformed_times_are_no_times(self):
        """Guards against a target that is lost by a malformed header."""
        malformed = ("", " ", "-1", "nan", "inf", "1e3", "9" * 400, "3601")
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for text in (*malformed, date, "\u0663", "1_0", "5 s"):
            with self.subTest(text):
                self.assertIsNone(_retry_after(text))
                given = {"retry-after": text}
                facts = headers.read_reply(given)
                self.assertEqual(facts.retry_after_text, text)

    def test_longest_of_several_times_counts(self):
        self.assertEqual(_retry_after("2", "x", "7", "9999"), 7.0)
        self.assertEqual(_retry_after("2, 3"), 3.0)

    def test_answer_without_a_time(self):
        facts = headers.read_reply({})
        self.assertIsNone(facts.retry_after_text)
        self.assertIsNone(facts.retry_after_s)


class DrainsTest(unittest.TestCase):
    def test_only_one_value_says_that_the_target_drains(self):
        """Guards against a target that is lost by a malformed header."""
        for text in ("1", " 1 "):
            facts = headers.read_reply({"server-leaving": text})
            self.assertTrue(facts.drains)
        for text in (
            "",
            "0",
            "true",
            "yes",
            "01",
            "1.0",
            "-1",
            "1 1",
            "\u0661",
        ):
            with self.subTest(text):
                facts = headers.read_reply({"SERVER-LEAVING": text})
                self.assertFalse(facts.drains)
                self.assertEqual(facts.drains_text, text)

    def test_several_values_contradict_each_other(self):
        """Guards against a guess which one is meant."""
        given = multidict.CIMultiDict(
            [("Server-Leaving", "0"), ("Server-Leaving", "1")]
        )
        self.assertFalse(headers.read_reply(given).drains)

    def test_several_equal_values_agree(self):
        given = multidict.CIMultiDict(
            [("Server-Leaving", "1"), ("Server-Leaving", "1")]
        )
        self.assertTrue(headers.read_reply(given).drains)

    def test_answer_that_says_nothing(self):
        facts = headers.read_reply({})
        self.assertIsNone(facts.drains_text)
        self.assertFalse(facts.drains)


class EventsTest(unittest.TestCase):
    @hypothesis.given(
        st.lists(
            st.sampled_from(
                [b"id: 1\ndata: a\n\n", b"data: b\r\n\r\n", b": c\n\n"]
            )
        ),
        st.lists(st.integers(min_value=1, max_value=9)),
    )
    def test_chunk_boundaries_do_not_change_the_bytes(self, parts, sizes):
        data = b"".join(parts)
        splitter = events.Splitter()
        received = b""
        offset = 0
        for size in [*sizes, len(data)]:
            found = events.feed(splitter, data[offset : offset + size])
            received += found.data if found else b""
            offset += size
        self.assertEqual(received + splitter.rest, data)
        self.assertEqual(splitter.rest, b"")

    def test_incomplete_event_is_buffered(self):
        splitter = events.Splitter()
        found = events.feed(splitter, b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual(found.last_id, "1")
        self.assertEqual(splitter.rest, b"id: 2\nda")
