"""Stand-ins for what surrounds copperloom.

Usage:
  copperloom-standin (engine | service | platform | proxy) --settings FILE
                     [--truth]
  copperloom-standin (engine | service | platform | proxy) --explain
  copperloom-standin (-h | --help)

Options:
  --settings FILE  INI file.
  --truth          When it stops, print what really happened, as JSON.
  --explain        List all settings and stop.
"""

import asyncio
import importlib
import signal
import sys

import docopt
import msgspec

from copperloom import logs, settings

__all__ = ["main"]

# Module and class of the settings, loaded only when asked for.
_KINDS = {
    "engine": ("engine", "settings", "EngineSettings"),
    "service": ("service", "settings", "ServiceSettings"),
    "platform": ("platform", "platform", "PlatformStandinSettings"),
    "proxy": ("proxy", "settings", "ProxySettings"),
}


def main(argv: list[str] | None = None) -> int:
    """Runs one stand-in until SIGTERM or SIGINT."""
    args = docopt.docopt(__doc__, argv)
    kind = next(kind for kind in _KINDS if args[kind])
    name, settings_name, cls_name = _KINDS[kind]
    program = getattr(_module(settings_name), cls_name)
    if args["--explain"]:
        print(settings.explain(program))
        return 0
    logs.setup(standin=kind)
    spec = settings.load_or_exit(args["--settings"], program)
    module = _module(name)
    asyncio.run(_run(module, spec, tell_truth=args["--truth"]))
    return 0


def _module(name: str):
    return importlib.import_module(f"copperloom.standins.{name}")


def _stop_event() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def _run(module, spec, *, tell_truth: bool) -> None:
    stop = _stop_event()
    server = await module.serve(spec)
    ready = " ".join(f"{n}={a}" for n, a in server.addresses.items())
    print(f"ready {ready}", flush=True)
    await stop.wait()
    if tell_truth:
        print(msgspec.json.encode(server.truth()).decode(), flush=True)
    await server.close()


if __name__ == "__main__":
    sys.exit(main())
