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

# By kind: module, module of the settings and their class. Modules are imported
# on demand, so that a stand-in does not load the libraries of the others.
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
    module_name, settings_name, class_name = _KINDS[kind]
    program = getattr(_import_standin(settings_name), class_name)
    if args["--explain"]:
        print(settings.explain(program))
        return 0
    logs.setup(standin=kind)
    spec = settings.load_or_exit(args["--settings"], program)
    module = _import_standin(module_name)
    asyncio.run(_run(module, spec, print_truth=args["--truth"]))
    return 0


def _import_standin(module_name: str):
    return importlib.import_module(f"copperloom.standins.{module_name}")


def _stop_event() -> asyncio.Event:
    """Returns an event that is set on SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    return stop


async def _run(module, spec, *, print_truth: bool) -> None:
    stop = _stop_event()
    server = await module.serve(spec)
    ready = " ".join(
        f"{name}={address}" for name, address in server.addresses.items()
    )
    print(f"ready {ready}", flush=True)
    await stop.wait()
    if print_truth:
        print(msgspec.json.encode(server.truth()).decode(), flush=True)
    await server.close()


if __name__ == "__main__":
    sys.exit(main())
