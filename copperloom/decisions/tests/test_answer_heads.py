"""Tests which heads of answers count as malformed."""

import unittest

from copperloom.decisions import answer_heads

_OK = b"HTTP/1.1 200 OK\r\n"
_END = b"\r\n"
_WELL_FORMED = (
    _OK + _END,
    b"HTTP/1.0 599 \r\n" + _END,
    b"HTTP/1.1 204\r\n" + _END,
    b"HTTP/1.1 200 \xe9t\xe9\r\n" + _END,
    b"\r\n" + _OK + _END,
    b"HTTP/1.1 200 OK\nA: b\n\n",
    b"HTTP/1.1 102 Processing\r\nA: b\r\n\r\n" * 2 + _OK + b"A: b\r\n" + _END,
    _OK + b"A!#$%&'*+-.^_`|~9:\r\nB:\t \xe9 c\r\n" + _END,
    _OK + b"Transfer-Encoding:  Chunked \r\n" + _END,
)
_STATUS_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 200 O\x01K",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
    b"RTSP/1.0 200 OK",
    b"http/1.1 200 OK",
    b" HTTP/1.1 200 OK",
    b"\x00\x01garbage",
)
_FIELDS = (
    b"A B: c",
    b" A: b",
    b"\tA: b",
    b"A : b",
    b"A\t: b",
    b"A\x01: b",
    b"A\x00B: c",
    b"A\x7f: b",
    b"A\xe9: b",
    b"A\rB: c",
    b": b",
    b"A",
    b"A: b\x01",
    b"A: b\x00",
    b"A: b\rc",
    b"Content-Length : 3",
    b" Content-Length: 3",
    b"Transfer-Encoding : chunked",
)


def _check(data: bytes, size: int) -> tuple[str, bool]:
    """Checks bytes in parts; returns what is malformed, and completeness."""
    head = answer_heads.Head()
    for begin in range(0, len(data), size):
        malformed = answer_heads.check(head, data[begin : begin + size])
        if malformed:
            return malformed, head.is_complete
    return "", head.is_complete


class CheckTest(unittest.TestCase):
    def check(self, data: bytes, malformed: str) -> None:
        for size in (1, 2, 7, len(data)):
            with self.subTest(data, size=size):
                expected = (malformed, not malformed)
                self.assertEqual(_check(data, size), expected)

    def test_well_formed_heads(self):
        """Guards against refusing proper answers."""
        for data in _WELL_FORMED:
            self.check(data, "")

    def test_status_lines(self):
        """Guards against answers without a status of HTTP."""
        for line in _STATUS_LINES:
            self.check(line + _END + _END, "status line")

    def test_fields(self):
        """Guards against fields that recipients read differently."""
        for line in _FIELDS:
            for before in (b"", b"X: y\r\n"):
                self.check(_OK + before + line + _END + _END, "field")

    def test_transfer_codings(self):
        """Guards against a coded body that passes for the answer."""
        for value in (b"gzip", b"gzip, chunked", b"chunked, chunked", b""):
            line = b"transfer-encoding: " + value
            self.check(_OK + line + _END + _END, "transfer coding")

    def test_head_behind_an_informational_one(self):
        """Guards against checking the first of several heads only."""
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        self.check(interim + b"HTTP/1.1 000 OK\r\n\r\n", "status line")

    def test_body_is_not_checked(self):
        """Guards against taking a body for a further head."""
        self.check(_OK + _END + b"A B: c\r\n\r\nHTTP/1.1 000\r\n\r\n", "")
