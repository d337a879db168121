"""Runs several entries on one event loop, for trials with very many.

Usage:
  copperloom-planes --platform=ADDRESS --first=N --count=N

Options:
  --platform=ADDRESS  Address of the platform.
  --first=N           Number of the first entry.
  --count=N           How many entries.

Prints one line when they listen, and one for each version of the
configuration that each of them adopts, with the monotonic time, which all
processes of a machine share.
"""

import asyncio
import signal
import time

import docopt

from copperloom import logs
from copperloom.daemons import entry, options
from copperloom.experiments import mixes, plan

__all__ = ["main"]

_POLL_S = 0.02
_CENTRES = 18


def main(argv: list[str] | None = None) -> None:
    """Runs the command line."""
    args = docopt.docopt(__doc__, argv)
    logs.setup("CRITICAL")
    first, count = int(args["--first"]), int(args["--count"])
    asyncio.run(_run(args["--platform"], range(first, first + count)))


async def _run(platform: str, numbers: range) -> None:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    centres = tuple(f"dc-{i:02d}" for i in range(_CENTRES))
    mix = plan.make_settings(
        mixes.LoadSettings,
        {"load": {"name": "planes"}, "cluster": {"data_centres": centres}},
    )
    running = []
    for number in numbers:
        sections = plan.entry_sections(mix, number, platform, plan.Variant())
        own = plan.make_settings(options.EntrySettings, sections)
        running.append(await entry.start(own))
    print("ready", flush=True)
    watching = asyncio.create_task(_watch(running))
    await stop.wait()
    watching.cancel()
    await asyncio.gather(*(one.stop() for one in running))


async def _watch(running: list[entry.EntryService]) -> None:
    seen = [0] * len(running)
    while True:
        for index, one in enumerate(running):
            version = one.entry.cfg.version
            if version != seen[index]:
                seen[index] = version
                name = one.entry.settings.entry.instance
                now = time.monotonic()
                print(f"version {name} {version} {now:.6f}", flush=True)
        await asyncio.sleep(_POLL_S)


if __name__ == "__main__":
    main()
