"""Runs several entries on one event loop, for trials of large fleets.

Usage:
  copperloom-planes --platform=ADDRESS --first=N --count=N

Options:
  --platform=ADDRESS  Address of the platform.
  --first=N           Number of the first entry.
  --count=N           How many entries.

Prints one line when the entries listen, and one for each adoption of a
configuration version by one of them, with the monotonic time. All processes of
a machine share this clock.
"""

import asyncio
import signal
import time

import docopt

from copperloom import logs
from copperloom.daemons import entry, options
from copperloom.experiments import mixes, plan

__all__ = ["main"]

_POLL_INTERVAL_S = 0.02
_DATA_CENTRES = 18


def main(argv: list[str] | None = None) -> None:
    """Runs the command line."""
    args = docopt.docopt(__doc__, argv)
    logs.setup("CRITICAL")
    first, count = int(args["--first"]), int(args["--count"])
    asyncio.run(_run(args["--platform"], range(first, first + count)))


async def _run(platform: str, numbers: range) -> None:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    data_centres = tuple(f"dc-{i:02d}" for i in range(_DATA_CENTRES))
    mix = plan.make_settings(
        mixes.LoadSettings,
        {"load": {"name": "planes"}, "cluster": {"data_centres": data_centres}},
    )
    services = []
    for number in numbers:
        sections = plan.entry_sections(mix, number, platform, plan.Variant())
        entry_settings = plan.make_settings(options.EntrySettings, sections)
        services.append(await entry.start(entry_settings))
    print("ready", flush=True)
    watching = asyncio.create_task(_watch(services))
    await stop.wait()
    watching.cancel()
    await asyncio.gather(*(service.stop() for service in services))


async def _watch(services: list[entry.EntryService]) -> None:
    versions = [0] * len(services)
    while True:
        for index, service in enumerate(services):
            version = service.entry.cfg.version
            if version != versions[index]:
                versions[index] = version
                name = service.entry.settings.entry.instance
                now = time.monotonic()
                print(f"version {name} {version} {now:.6f}", flush=True)
        await asyncio.sleep(_POLL_INTERVAL_S)


if __name__ == "__main__":
    main()
