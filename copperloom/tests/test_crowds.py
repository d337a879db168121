"""Guards against clients that fill memory or descriptors of an entry.

The clients and the bounds are those of `copperloom.ingress.tests.crowds`.
"""

import asyncio
import pathlib
import unittest

from copperloom.ingress.tests import crowds
from copperloom.standins import crowd
from copperloom.tests import systems

_CROWD_S = 2.0
_STOP_S = 60.0
_POLL_S = 0.05


def _request_lines(number: str) -> tuple[str, ...]:
    return (
        "POST /v1/chat/completions HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {systems.token_of('org-a')}",
    )


def _start(case) -> crowds.Crowded:
    system = systems.start_system(
        case,
        entries=1,
        engines=1,
        services=0,
        entry={
            "limits": {
                "header_bytes": crowds.MAX_HEADER_BYTES,
                "body_bytes": crowds.MAX_BODY_BYTES,
                "header_timeout_s": 2.0,
                "idle_timeout_s": 5.0,
                "memory_bytes": crowds.MEMORY_MB * 1_000_000,
                "max_descriptors": crowds.MAX_DESCRIPTORS,
            }
        },
    )
    entry = system.entries["e0"]
    return crowds.Crowded(
        entry.popen,
        {"callers": entry.address, "peers": entry.addresses["peers"]},
        pathlib.Path(entry.folder / "stderr"),
        _request_lines,
    )


class EntryTest(unittest.IsolatedAsyncioTestCase):
    async def test_bodies(self):
        """Guards against bodies that stop short of their announced end."""
        await crowds.check(self, _start(self), ("announced_body",))

    async def test_tiny_chunks(self):
        """Guards against bodies in chunks of a byte, each held as an object."""
        await crowds.check(self, _start(self), ("tiny_chunks",))

    async def test_large_fields(self):
        """Guards against heads that the HTTP library would keep."""
        await crowds.check(self, _start(self), ("large_fields",))

    async def test_bytes_that_are_no_request(self):
        """Guards against log lines that hold what was sent."""
        await crowds.check(self, _start(self), ("garbage",))

    async def test_silence(self):
        """Guards against silent connections that take all descriptors."""
        await crowds.check(self, _start(self), ("silent", "half_head"))

    async def test_unknown_paths(self):
        """Guards against refusals that keep what was sent in memory."""
        await crowds.check(self, _start(self), ("unknown_paths",))

    async def test_stop_while_a_crowd_stays(self):
        """Guards against a stop that waits for requests that never end."""
        crowded = _start(self)
        kinds = ("announced_body", "half_head", "silent", "slow_body")
        await crowds.play(self, crowded, kinds)
        await asyncio.sleep(_CROWD_S)
        crowded.process.terminate()
        # Far below the time in which an entry finishes its requests.
        async with asyncio.timeout(_STOP_S):
            while crowds.is_running(crowded):
                await asyncio.sleep(_POLL_S)
        self.assertEqual(crowded.process.returncode, 0)

    async def test_all_kinds(self):
        """Guards against kinds that are only borne one at a time."""
        kinds = tuple(sorted(crowd.KINDS))
        await crowds.check(self, _start(self), kinds, clients=300)

    async def test_all_kinds_at_peers(self):
        """Guards against callers that find the address of peers."""
        kinds = tuple(sorted(crowd.KINDS))
        await crowds.check(self, _start(self), kinds, "peers", clients=300)
