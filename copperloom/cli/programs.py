"""Programs whose settings can be checked and explained."""

import importlib

from copperloom import exception

__all__ = ["PROGRAMS", "find"]

# Loaded only when asked for: the command itself starts quickly.
PROGRAMS = {
    "entry": ("copperloom.daemons.options", "EntrySettings"),
    "front": ("copperloom.daemons.front", "FrontSettings"),
    "standin-engine": ("copperloom.standins.settings", "EngineSettings"),
    "standin-service": ("copperloom.standins.settings", "ServiceSettings"),
    "standin-proxy": ("copperloom.standins.settings", "ProxySettings"),
    "standin-platform": (
        "copperloom.standins.platform",
        "PlatformStandinSettings",
    ),
}


def find(name: str) -> type:
    """Returns the settings of a program.

    Raises:
        copperloom.exception.SettingsError: There is no such program.
    """
    if name not in PROGRAMS:
        raise exception.SettingsError(
            f"no program {name}: one of {', '.join(PROGRAMS)}"
        )
    module, cls = PROGRAMS[name]
    return getattr(importlib.import_module(module), cls)
