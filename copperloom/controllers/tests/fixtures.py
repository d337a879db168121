"""Shared fixtures: a stand-in platform process and entry states."""

import asyncio
import hashlib
import pathlib
import subprocess
import sys
import tempfile
import time

import aiohttp

from copperloom import configuration
from copperloom.daemons import options, state
from copperloom.platform import http

__all__ = [
    "Standin",
    "TOKEN",
    "control",
    "entry_state",
    "organisation",
    "start_platform",
    "target",
    "truth",
    "until",
]

TOKEN = "operators"
_WAIT_S = 20.0


class Standin:
    """A process of the platform stand-in.

    Attributes:
        address: IP:port where it listens.
        process: The process.
    """

    def __init__(self, address: str, process: subprocess.Popen):
        self.address = address
        self.process = process


def start_platform(case, **keys) -> Standin:
    """Starts the platform stand-in as a process, which the test case ends.

    Args:
        case: The test case.
        **keys: Settings of its [platform] section.
    """
    lines = ["[platform]", *(f"{k} = {v}" for k, v in keys.items())]
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    file = pathlib.Path(folder.name, "platform.ini")
    file.write_text("\n".join(lines))
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "copperloom.standins.main",
            "platform",
            "--settings",
            str(file),
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    case.addCleanup(process.stdout.close)
    case.addCleanup(process.wait)
    case.addCleanup(process.kill)
    ready = process.stdout.readline()
    address = ready.partition("listen=")[2].split()[0]
    return Standin(address, process)


async def control(platform: Standin, **changes) -> None:
    """Sets faults and other behaviour of the platform stand-in."""
    url = f"http://{platform.address}/_standin/control"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=changes) as reply,
    ):
        assert reply.status == 200, await reply.text()


async def truth(platform: Standin) -> dict:
    """Returns the platform stand-in's actual contents and call counts."""
    url = f"http://{platform.address}/_standin/truth"
    async with aiohttp.ClientSession() as session, session.get(url) as reply:
        return await reply.json()


def entry_state(case, address: str, instance: str = "a", **sections):
    """Builds an entry's state with a platform client.

    Args:
        case: The test case, which closes the client.
        address: IP:port of the platform.
        instance: The entry's instance name.
        **sections: Settings by section, and data_centre.
    """
    settings = options.EntrySettings(
        entry=options.EntrySection(
            instance=instance,
            data_centre=sections.pop("data_centre", "dc"),
            operator_token_sha256=hashlib.sha256(TOKEN.encode()).hexdigest(),
        ),
        platform=options.PlatformSection(
            address=address, **sections.pop("platform", {})
        ),
        membership=options.MembershipSection(**sections.pop("membership", {})),
        limits=options.LimitsSection(),
        targets=options.TargetsSection(**sections.pop("targets", {})),
    )
    entry = state.EntryState(settings, http.connect(address), None)
    case.addAsyncCleanup(entry.platform.close)
    return entry


def organisation(name: str = "org") -> tuple[str, dict]:
    """Returns the key and value of an organisation for a change."""
    digest = hashlib.sha256(name.encode()).hexdigest()
    return configuration.encode_entity(
        configuration.Organisation(name=name, token_sha256=digest)
    )


def target(name: str = "t", **values) -> tuple[str, dict]:
    """Returns the key and value of a target for a change."""
    return configuration.encode_entity(
        configuration.Target(name=name, address="127.0.0.1:9", **values)
    )


async def until(condition, bound_s: float = _WAIT_S) -> None:
    """Waits until a condition holds, and fails after a time limit."""
    deadline = time.monotonic() + bound_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"condition did not hold within {bound_s} s")
        await asyncio.sleep(0.02)
