"""Starts and stops real daemons and stand-ins for tests.

Every function that starts a process registers its clean-up with the given test
case. A test case class may be given instead, for a system that all tests of
the class share.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

__all__ = ["Process", "launch", "start_entry", "start_standin", "wait_until"]

# Allows for slow start-up on a busy machine.
READY_LIMIT_S = 20.0
_EXIT_LIMIT_S = 5.0
_CALL_LIMIT_S = 5.0
_POLL_S = 0.02
_LOG_TAIL_LINES = 40
_ROOT = pathlib.Path(__file__).resolve().parents[2]
_MODULES = {
    "entry": ["copperloom.daemons.entry"],
    "engine": ["copperloom.standins.main", "engine"],
    "service": ["copperloom.standins.main", "service"],
    "platform": ["copperloom.standins.main", "platform"],
    "proxy": ["copperloom.standins.main", "proxy"],
}


class Process:
    """A process under test.

    Attributes:
        name: Name in logs and test failures.
        popen: Handle of the operating system process.
        folder: Folder with its settings, standard output and log.
    """

    def __init__(self, name: str, popen: subprocess.Popen, folder: str):
        self.name = name
        self.popen = popen
        self.folder = pathlib.Path(folder)
        self._addresses: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """Returns the process id."""
        return self.popen.pid

    @property
    def addresses(self) -> dict[str, str]:
        """Returns its listening addresses by name, once it is ready."""
        if not self._addresses:
            wait_until(self._read_ready, READY_LIMIT_S, f"{self.name} ready")
        return self._addresses

    @property
    def address(self) -> str:
        """Returns its main address, as IP:port."""
        found = self.addresses
        return found.get("listen") or next(iter(found.values()))

    def _read_ready(self) -> bool:
        for line in self.output().splitlines(keepends=True):
            if line.startswith("ready ") and line.endswith("\n"):
                pairs = line.split()[1:]
                self._addresses = dict(p.split("=", 1) for p in pairs)
                return True
        if self.popen.poll() is not None:
            raise AssertionError(
                f"{self.name} exited with {self.popen.returncode}: "
                f"{self.log_tail()}"
            )
        return False

    def output(self) -> str:
        """Returns its standard output."""
        return (self.folder / "stdout").read_text()

    def log(self) -> str:
        """Returns its log."""
        return (self.folder / "stderr").read_text(errors="replace")

    def log_tail(self) -> str:
        """Returns the last lines of its log."""
        return "\n".join(self.log().splitlines()[-_LOG_TAIL_LINES:])

    def kill(self) -> None:
        """Kills it without a chance to shut down."""
        self.popen.kill()
        self.popen.wait(_EXIT_LIMIT_S)

    def freeze(self) -> None:
        """Suspends it with its connections open."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes it after `freeze`."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Requests a planned stop and returns at once."""
        self.popen.terminate()

    def running(self) -> bool:
        """Returns whether the process has not exited."""
        return self.popen.poll() is None

    def control(self, **values) -> dict:
        """Changes a stand-in's behaviour."""
        return self.call("POST", "/_standin/control", values)

    def truth(self) -> dict:
        """Returns a stand-in's own record of its state and work."""
        return self.call("GET", "/_standin/truth")

    def call(self, method: str, path: str, body: object = None) -> dict:
        """Makes a JSON call directly, bypassing any fault proxy."""
        return call(self.address, method, path, body)


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    *,
    token: str = "",
    limit_s: float = _CALL_LIMIT_S,
) -> dict:
    """Makes one blocking call and returns the JSON reply, or {}.

    Raises:
        urllib.error.HTTPError: A status of 400 or more.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=data,
        method=method,
        headers={
            "Content-Type": "application/json",
            "Authorization": f"Bearer {token}",
        },
    )
    with urllib.request.urlopen(request, timeout=limit_s) as reply:
        text = reply.read()
    return json.loads(text) if text.startswith((b"{", b"[")) else {}


def wait_until(condition, limit_s: float, description: str):
    """Waits for a condition and returns its first true value.

    Args:
        condition: A function; a refused or lost connection counts as false.
        limit_s: Time limit, in seconds.
        description: Describes the condition in the error.

    Raises:
        AssertionError: The condition was not true within the time limit.
    """
    deadline = time.monotonic() + limit_s
    while True:
        value = attempt(condition)
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {limit_s} s: {description}")
        time.sleep(_POLL_S)


def attempt(condition):
    """Returns a condition's value, or None if the connection failed."""
    try:
        return condition()
    except (urllib.error.URLError, ConnectionError, TimeoutError):
        return None


def launch(
    case, program: str, sections: dict[str, dict], *, name: str = ""
) -> Process:
    """Starts a program and returns before it is ready.

    Args:
        case: A test case or its class.
        program: "entry", or the kind of a stand-in.
        sections: Settings by section and key.
        name: Name in logs; the program's name by default.
    """
    folder = tempfile.TemporaryDirectory(prefix="copperloom-")
    on_cleanup(case, folder.cleanup)
    path = pathlib.Path(folder.name)
    (path / "settings.ini").write_text(_ini(sections))
    with (path / "stdout").open("w") as out, (path / "stderr").open("w") as err:
        popen = subprocess.Popen(
            [sys.executable, "-m", *_MODULES[program]]
            + ["--settings", str(path / "settings.ini")],
            cwd=_ROOT,
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=err,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
    process = Process(name or program, popen, folder.name)
    on_cleanup(case, _finish, case, process)
    return process


def start_standin(case, kind: str, **sections: dict) -> Process:
    """Starts a stand-in, with one dict of settings per section."""
    process = launch(case, kind, sections)
    return process if process.addresses else process


def start_entry(case, platform: str, **sections: dict) -> Process:
    """Starts an entry with short intervals, to keep tests fast.

    Args:
        case: A test case or its class.
        platform: Address of the platform, or of a proxy in front of it.
        **sections: Settings by section, which override the test defaults.
    """
    process = launch_entry(case, platform, **sections)
    return process if process.addresses else process


def launch_entry(case, platform: str, **sections: dict) -> Process:
    """Starts an entry and returns before it is ready."""
    merged = {
        "entry": {"instance": "e0", "data_centre": "a", "drain_lag_s": 0.5},
        "platform": {
            "address": platform,
            "timeout_s": 1.0,
            "head_poll_s": 0.2,
            "instances_poll_s": 0.2,
        },
        "membership": {
            "exchange_s": 0.2,
            "suspect_s": 1.0,
            "dead_s": 2.0,
            "confirm_s": 2.0,
        },
        "targets": {
            "load_poll_s": 0.1,
            "load_polls_per_s": 100,
            "reclaim_poll_s": 0.3,
            "reservation_s": 1.0,
        },
    }
    for section, values in sections.items():
        merged[section] = merged.get(section, {}) | values
    return launch(case, "entry", merged, name=merged["entry"]["instance"])


def on_cleanup(case, function, *args) -> None:
    """Registers a clean-up with a test case or a test case class."""
    add = case.addClassCleanup if isinstance(case, type) else case.addCleanup
    add(function, *args)


def _finish(case, process: Process) -> None:
    """Kills a process, and prints its log if the test failed."""
    with contextlib.suppress(ProcessLookupError):
        process.resume()
    process.popen.kill()
    process.popen.wait(_EXIT_LIMIT_S)
    if _failed(case):
        print(f"--- log of {process.name} ---\n{process.log_tail()}")


def _failed(case) -> bool:
    # unittest has no public interface for this during clean-up; without the
    # private one, only the logs are missing.
    outcome = getattr(case, "_outcome", None)
    return outcome is not None and not outcome.success


def _ini(sections: dict[str, dict]) -> str:
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines.extend(f"{key} = {value}" for key, value in values.items())
    return "\n".join(lines) + "\n"
