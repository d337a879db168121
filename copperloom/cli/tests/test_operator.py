"""Tests of the operators' command against running entries."""

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
    """The output and the exit status of a command."""

    def __init__(self, *argv: str):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            self.status = operator.main(list(argv))
        self.out = out.getvalue()
        self.err = err.getvalue()


def _closed_port() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def _unresponsive_entry(case, version: int) -> str:
    """Starts an entry that reads a change and closes without a response."""

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
        processes.wait_until(cls.all_in_contact, 20, "entries know each other")

    @classmethod
    def launch_entry(cls, name):
        section = {
            "instance": name,
            "operator_token_sha256": systems.digest(systems.OPERATOR_TOKEN),
        }
        return processes.launch_entry(cls, cls.platform.address, entry=section)

    @classmethod
    def all_in_contact(cls):
        answer = json.loads(cls.command("--json", "status").out)
        return answer["contacts"] == 3

    @classmethod
    def command(cls, *argv, entries=None):
        found = []
        for address in entries or cls.entries:
            found += ["--entry", address]
        return _Run("--token-file", str(cls.token), *found, *argv)

    def test_active_preset_is_audited_and_not_deletable(self):
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

    def test_target_is_retired_and_admitted_again(self):
        self.command("target", "put", "t", "address=127.0.0.1:9", "serves=m")
        self.assertEqual(self.command("target", "retire", "t").status, 0)
        status = json.loads(self.command("--json", "status").out)
        self.assertEqual(status["leaving_targets"], ["t"])
        self.assertEqual(self.command("target", "admit", "t").status, 0)
        listed = json.loads(self.command("--json", "target", "list").out)
        self.assertEqual(listed["entities"][0]["state"], "admitted")

    def test_unreachable_entry_is_skipped(self):
        run = self.command(
            "deployment",
            "put",
            "d",
            "model=m",
            entries=[_closed_port(), self.entries[0]],
        )
        self.assertEqual(run.status, operator.DONE, run.err)

    def test_change_with_lost_confirmation_succeeds(self):
        """The platform applies a change, but its response is lost.

        Guards against reporting an applied change as failed or unknown.
        """
        self.platform.control(lose_confirmations=1)
        run = self.command("deployment", "put", "e", "model=m")
        self.assertEqual(run.status, operator.DONE, run.err)

    def test_unreachable_entries_mean_not_done(self):
        run = self.command("status", entries=[_closed_port()])
        self.assertEqual(run.status, operator.NOT_DONE)
        self.assertIn("error 5001", run.err)

    def test_unknown_outcome_is_settled_by_another_entry(self):
        """An entry receives a change and closes the connection.

        Guards against reporting success or failure when the outcome is unknown,
        and against an outcome that stays unknown with a second entry.
        """
        unresponsive = _unresponsive_entry(self, self.version())
        change = ("target", "put", "u", "address=127.0.0.1:9")
        run = self.command(*change, entries=[unresponsive])
        self.assertEqual(run.status, operator.UNKNOWN)
        self.assertIn("error 5005", run.err)
        run = self.command(*change, entries=[unresponsive, self.entries[0]])
        self.assertEqual(run.status, operator.DONE, run.err)

    def version(self) -> int:
        return json.loads(self.command("--json", "status").out)["version"]

    def test_invalid_arguments_are_usage_errors(self):
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

    def test_settings_are_explained_and_checked(self):
        self.assertIn("confirm_s", _Run("config", "explain").out)
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write("[entry]\ninstance = a\nlistenn = x\n")
            file.flush()
            run = _Run("config", "check", file.name)
        self.assertEqual(run.status, operator.USAGE)
        self.assertIn("[entry] listenn: unknown key", run.err)
