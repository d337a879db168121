"""The operators' command against real entries."""

import contextlib
import http.server
import io
import json
import pathlib
import socket
import tempfile
import threading
import unittest

from copperloom.cli import operator
from copperloom.tests import processes, systems


class _Run:
    """What a command printed and returned."""

    def __init__(self, *argv: str):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            self.status = operator.main(list(argv))
        self.out = out.getvalue()
        self.err = err.getvalue()


def _closed_port() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def _silent_entry(case, version: int) -> str:
    """Starts an entry that reads changes and ends without an answer."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            cfg = {"version": version, "preset": "default", "entities": []}
            self.send_response(200)
            self.end_headers()
            self.wfile.write(json.dumps(cfg).encode())

        def do_POST(self):
            self.rfile.read(int(self.headers["Content-Length"]))

        def log_message(self, *args):
            pass

    fake = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=fake.serve_forever)
    thread.start()
    case.addCleanup(thread.join)
    case.addCleanup(fake.server_close)
    case.addCleanup(fake.shutdown)
    return f"127.0.0.1:{fake.server_port}"


class OperatorTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.token = pathlib.Path(folder.name, "token")
        cls.token.write_text(systems.OPERATOR_TOKEN + "\n")
        cls.platform = processes.launch(cls, "platform", {})
        running = [cls.launch_entry(f"e{i}") for i in range(3)]
        cls.entries = [process.address for process in running]
        processes.wait_until(cls.all_met, 20, "entries know each other")

    @classmethod
    def launch_entry(cls, name):
        own = {
            "instance": name,
            "operator_token_sha256": systems.digest(systems.OPERATOR_TOKEN),
        }
        return processes.launch_entry(cls, cls.platform.address, entry=own)

    @classmethod
    def all_met(cls):
        answer = json.loads(cls.command("--json", "status").out)
        return answer["contacts"] == 3

    @classmethod
    def command(cls, *argv, entries=None):
        found = []
        for address in entries or cls.entries:
            found += ["--entry", address]
        return _Run("--token-file", str(cls.token), *found, *argv)

    def test_put_switch_list_audit_delete(self):
        run = self.command(
            "--operator", "olga", "preset", "put", "night", "short_floor=0.7"
        )
        self.assertEqual(run.status, operator.DONE, run.err)
        self.assertIn("in force on 3 of 3", run.out)
        run = self.command("--note", "calm", "preset", "switch", "night")
        self.assertEqual(run.status, operator.DONE, run.err)
        run = self.command("preset", "put", "night", "long_share=0.5")
        self.assertEqual(run.status, operator.DONE, run.err)
        listed = self.command("preset", "list").out
        self.assertIn("night (in force)", listed)
        self.assertIn("short_floor=0.7", listed)
        self.assertIn("(calm)", self.command("audit").out)
        run = self.command("preset", "delete", "night")
        self.assertEqual(run.status, operator.NOT_DONE)
        self.assertIn("in force", run.err)

    def test_retire_and_admit(self):
        self.command("target", "put", "t", "address=127.0.0.1:9", "serves=m")
        self.assertEqual(self.command("target", "retire", "t").status, 0)
        status = json.loads(self.command("--json", "status").out)
        self.assertEqual(status["leaving_targets"], ["t"])
        self.assertEqual(self.command("target", "admit", "t").status, 0)
        listed = json.loads(self.command("--json", "target", "list").out)
        self.assertEqual(listed["entities"][0]["state"], "admitted")

    def test_next_entry_is_tried(self):
        run = self.command(
            "deployment",
            "put",
            "d",
            "model=m",
            entries=[_closed_port(), self.entries[0]],
        )
        self.assertEqual(run.status, operator.DONE, run.err)

    def test_lost_confirmation_is_resolved(self):
        """The platform makes the change and its answer is lost."""
        self.platform.control(lose_confirmations=1)
        run = self.command("deployment", "put", "e", "model=m")
        self.assertEqual(run.status, operator.DONE, run.err)

    def test_no_entry_changes_nothing(self):
        run = self.command("status", entries=[_closed_port()])
        self.assertEqual(run.status, operator.NOT_DONE)
        self.assertIn("error 5001", run.err)

    def test_unknown_outcome_has_its_own_status(self):
        """An entry takes the change, and its connection ends.

        The operator can't know whether it was made. Another entry settles it,
        since it gets the same nonce on the same version.
        """
        silent = _silent_entry(self, self.version())
        change = ("target", "put", "u", "address=127.0.0.1:9")
        run = self.command(*change, entries=[silent])
        self.assertEqual(run.status, operator.UNKNOWN)
        self.assertIn("error 5005", run.err)
        run = self.command(*change, entries=[silent, self.entries[0]])
        self.assertEqual(run.status, operator.DONE, run.err)

    def version(self) -> int:
        return json.loads(self.command("--json", "status").out)["version"]

    def test_wrong_arguments(self):
        cases = [
            ("preset", "fly", "x"),
            ("preset", "put", "x", "wings=2"),
            ("preset", "put", "x", "short_floor=low"),
            ("target", "retire", "nobody"),
        ]
        for argv in cases:
            with self.subTest(argv):
                self.assertEqual(self.command(*argv).status, operator.USAGE)
        self.assertEqual(_Run("status").status, operator.USAGE)

    def test_config_check_and_explain(self):
        self.assertIn("confirm_s", _Run("config", "explain").out)
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write("[entry]\ninstance = a\nlistenn = x\n")
            file.flush()
            run = _Run("config", "check", file.name)
        self.assertEqual(run.status, operator.USAGE)
        self.assertIn("[entry] listenn: unknown key", run.err)
