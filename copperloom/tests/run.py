"""Runs all tests: `python -m copperloom.tests.run [--jobs N] [PATTERN...]`.

Test classes run in several processes, half as many as there are processors
unless `--jobs` says otherwise. Tests that measure time to within milliseconds
run last, one at a time.

Tests listed in KNOWN-RED.txt run, but their failures are only printed and do
not count. All other tests must pass. A listed test that passes is printed too,
so that it can be removed from the list.
"""

import argparse
import concurrent.futures
import dataclasses
import io
import multiprocessing
import os
import pathlib
import sys
import unittest
from collections.abc import Iterable, Iterator

import hypothesis

_ROOT = pathlib.Path(__file__).resolve().parents[2]
# They compare durations of a few milliseconds, or rates of targets and callers,
# which other tests change, or fill what one process may take.
_ALONE = (
    "copperloom.ingress.tests.test_admit",
    "copperloom.ingress.tests.test_cold_targets",
    "copperloom.ingress.tests.test_crowds",
    "copperloom.ingress.tests.test_fair_queueing",
    "copperloom.ingress.tests.test_placement_rpc",
    "copperloom.ingress.tests.test_prompt_parts",
    "copperloom.ingress.tests.test_request_limits",
    "copperloom.tests.test_crowds",
    "copperloom.tests.test_frontsoak",
)

hypothesis.settings.register_profile(
    "ci", derandomize=True, database=None, deadline=None, print_blob=True
)
hypothesis.settings.register_profile("wide", max_examples=2000, deadline=None)


@dataclasses.dataclass(frozen=True)
class Result:
    """The outcome of a test class, or the sum of several.

    Attributes:
        ran: Ids of the tests that ran.
        failed: Ids of the tests, or of class set-ups, that failed.
        skipped: Number of skipped tests.
        output: What the test runner printed.
    """

    ran: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()
    skipped: int = 0
    output: str = ""


def known_red() -> set[str]:
    """Returns the test ids listed in KNOWN-RED.txt."""
    path = _ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = [line.strip() for line in path.read_text().splitlines()]
    return {s.split()[0] for s in lines if s and not s.startswith("#")}


def main(arguments: list[str]) -> int:
    """Runs the tests whose id contains a pattern, or all without patterns."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--jobs", type=int, default=max(1, (os.cpu_count() or 1) // 2)
    )
    parser.add_argument("patterns", nargs="*")
    options = parser.parse_args(arguments)
    groups = _discover(options.patterns)
    alone = [g for g in groups if g[0].startswith(_ALONE)]
    results = [
        *_run_groups([g for g in groups if g not in alone], options.jobs),
        *_run_groups(alone, 1),
    ]
    total = _sum(results)
    red = known_red()
    for result in results:
        if result.failed - red:
            print(f"\n{result.output}")
    for name in sorted(total.failed & red):
        print(f"known red: {name}")
    for name in sorted((red & total.ran) - total.failed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    bad = total.failed - red
    # A failed class set-up counts as a failure although no test ran.
    passed = len(total.ran) - len(total.failed & total.ran) - total.skipped
    tail = f", {total.skipped} skipped" if total.skipped else ""
    print(f"{passed} passed, {len(bad)} failed{tail}", flush=True)
    return 1 if bad or not total.ran else 0


def _discover(patterns: list[str]) -> list[tuple[str, ...]]:
    """Returns the ids of the selected tests, grouped by class."""
    found = unittest.TestLoader().discover(
        str(_ROOT / "copperloom"), "test_*.py", str(_ROOT)
    )
    groups: dict[str, list[str]] = {}
    for test in _flatten(found):
        if not patterns or any(p in test.id() for p in patterns):
            groups.setdefault(test.id().rpartition(".")[0], []).append(
                test.id()
            )
    # Large groups first, so that none of them is left for the end.
    return sorted(map(tuple, groups.values()), key=len, reverse=True)


def _run_groups(groups: list[tuple[str, ...]], jobs: int) -> list[Result]:
    if not groups:
        return []
    # Forked processes would share the sockets and event loops of the parent.
    context = multiprocessing.get_context("spawn")
    results = []
    with concurrent.futures.ProcessPoolExecutor(jobs, context) as pool:
        pending = [pool.submit(_run_group, group) for group in groups]
        for future in concurrent.futures.as_completed(pending):
            result = future.result()
            print(result.output, flush=True)
            results.append(result)
    return results


def _run_group(names: tuple[str, ...]) -> Result:
    """Runs the tests of one class in this process."""
    hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS", "ci"))
    suite = unittest.TestLoader().loadTestsFromNames(names)
    # The suite drops its tests while it runs, so the ids are collected first.
    ran = frozenset(test.id() for test in _flatten(suite))
    stream = io.StringIO()
    result = unittest.TextTestRunner(stream, verbosity=2).run(suite)
    # The id of a subtest has a space before its parameters.
    failed = {
        t.id().replace(" ", "") for t, _ in result.failures + result.errors
    }
    failed |= {t.id() for t in result.unexpectedSuccesses}
    return Result(
        ran, frozenset(failed), len(result.skipped), stream.getvalue()
    )


def _sum(results: Iterable[Result]) -> Result:
    total = Result()
    for result in results:
        total = Result(
            total.ran | result.ran,
            total.failed | result.failed,
            total.skipped + result.skipped,
        )
    return total


def _flatten(suite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _flatten(test)
        else:
            yield test


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
