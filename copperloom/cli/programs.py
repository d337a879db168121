"""The programs whose settings can be checked and explained."""

import importlib

from copperloom import exception

__all__ = ["PROGRAMS", "find"]

# Imported on demand, to keep the startup of the command fast.
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
    """Returns the settings class of a program.

    Raises:
        copperloom.exception.SettingsError: The program is unknown.
    """
    if name not in PROGRAMS:
        raise exception.SettingsError(
            f"unknown program {name}, must be one of {', '.join(PROGRAMS)}"
        )
    module, cls = PROGRAMS[name]
    return getattr(importlib.import_module(module), cls)
