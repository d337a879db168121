"""Copperloom: a serving layer for prompts of very unlike lengths."""

import importlib

__version__ = "0.1.0"

# Public names and their modules, which are imported on first use: a daemon that
# needs none of them starts sooner.
_MODULES = {
    "Change": "configuration",
    "Configuration": "configuration",
    "CopperloomError": "exception",
    "Deployment": "configuration",
    "Organisation": "configuration",
    "Placement": "messages",
    "Preset": "configuration",
    "Refusal": "messages",
    "Request": "messages",
    "Run": "exception",
    "Target": "configuration",
}

__all__ = [
    "Change",
    "Configuration",
    "CopperloomError",
    "Deployment",
    "Organisation",
    "Placement",
    "Preset",
    "Refusal",
    "Request",
    "Run",
    "Target",
]


def __getattr__(name: str):
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
    return getattr(module, name)
