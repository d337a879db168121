"""Settings of the processes of a trial, and its configuration.

They serve both a cluster within one process (see
`copperloom.experiments.cluster`) and one of several processes.
"""

import dataclasses
import hashlib
from typing import TypeVar

from copperloom import configuration
from copperloom.experiments import mixes

__all__ = [
    "MODEL",
    "ORDINARY",
    "PEAK",
    "WARM_UP_S",
    "Variant",
    "engine_sections",
    "entities",
    "entry_sections",
    "make_settings",
    "service_sections",
    "target_name",
]

MODEL = "model-a"
ORDINARY = "ordinary"
PEAK = "peak"
# Shorter than the default of the entries, because an owner grants no memory for
# this duration after it starts.
_RESERVATION_S = 2.0
_LOAD_POLLS_PER_S = 50
# Time from the start of the entries until their owners grant memory. It also
# covers a step of the owners' controller and the engines' load reports.
WARM_UP_S = 2 * _RESERVATION_S

_Program = TypeVar("_Program")
Sections = dict[str, dict[str, object]]


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """A policy and the mechanisms that a trial switches off.

    Attributes:
        policy: Name of the entries' policy.
        disable: Names of the mechanisms that are switched off.
    """

    policy: str = "copperloom"
    disable: tuple[str, ...] = ()

    def label(self) -> str:
        """Returns the name of the variant in tables."""
        return " ".join([self.policy, *(f"-{name}" for name in self.disable)])


def target_name(kind: configuration.TargetKind, index: int) -> str:
    """Returns the name of an engine or service of a trial."""
    return f"{kind.value}-{index:02d}"


def entry_sections(
    mix: mixes.LoadSettings, index: int, platform: str, variant: Variant
) -> Sections:
    """Returns an entry's settings.

    Args:
        mix: The mix.
        index: Number of the entry.
        platform: The platform's address.
        variant: Policy and mechanisms of the entry.
    """
    return {
        "entry": {
            "instance": f"entry-{index:02d}",
            "data_centre": _data_centre(mix, index),
            "drain_lag_s": 0.0,
            "drain_limit_s": 5.0,
            "log_level": "ERROR",
        },
        "platform": {"address": platform},
        "limits": {"bytes_per_token": mix.load.bytes_per_token},
        "targets": {
            "reservation_s": _RESERVATION_S,
            # Load reports of engines with scaled time go stale sooner.
            "load_polls_per_s": _LOAD_POLLS_PER_S,
        },
        "decisions": {"policy": variant.policy, "disable": variant.disable},
    }


def engine_sections(mix: mixes.LoadSettings, index: int, seed: int) -> Sections:
    """Returns an engine's settings."""
    return {
        "engine": {
            "seed": seed + index,
            "models": (MODEL,),
            "kv_tokens": mix.cluster.kv_tokens,
            "time_scale": mix.cluster.time_scale,
        }
    }


def service_sections(index: int, seed: int) -> Sections:
    """Returns a plain service's settings."""
    return {"service": {"seed": seed + index}}


def make_settings(program: type[_Program], sections: Sections) -> _Program:
    """Builds settings from values instead of a file; others are defaults.

    Raises:
        ValueError: A section is not part of the program's settings.
    """
    fields = dataclasses.fields(program)
    unknown = sections.keys() - {f.name for f in fields}
    if unknown:
        raise ValueError(f"unknown settings sections {sorted(unknown)}")
    return program(
        **{f.name: f.type(**sections.get(f.name, {})) for f in fields}
    )


def entities(
    mix: mixes.LoadSettings, engines: list[str], services: list[str]
) -> list[configuration.Entity]:
    """Returns the configuration of a trial.

    Args:
        mix: The mix.
        engines: Addresses of the engines.
        services: Addresses of the services.
    """
    kinds = configuration.TargetKind
    time_limit_s = mix.load.time_limit_s
    items: list[configuration.Entity] = [
        configuration.Organisation(name, _digest(name))
        for name in mixes.organisation_names(mix)
    ]
    items += [
        configuration.Deployment(
            mix.load.deployment, model=MODEL, time_limit_s=time_limit_s
        ),
        configuration.Deployment(
            mix.services.name, kinds.SERVICE, time_limit_s=time_limit_s
        ),
        configuration.Preset(ORDINARY),
        configuration.Preset(PEAK, objective="slowdown", max_queue_wait_s=20.0),
        configuration.PresetInForce(ORDINARY),
    ]
    for index, address in enumerate(engines):
        items.append(_target(mix, kinds.ENGINE, index, address, MODEL))
    for index, address in enumerate(services):
        name = mix.services.name
        items.append(_target(mix, kinds.SERVICE, index, address, name))
    return items


def _target(
    mix: mixes.LoadSettings,
    kind: configuration.TargetKind,
    index: int,
    address: str,
    serves: str,
) -> configuration.Target:
    return configuration.Target(
        target_name(kind, index),
        address,
        _data_centre(mix, index),
        kind,
        (serves,),
        kv_tokens=mix.cluster.kv_tokens,
    )


def _data_centre(mix: mixes.LoadSettings, index: int) -> str:
    names = mix.cluster.data_centres
    return names[index % len(names)]


def _digest(organisation: str) -> str:
    token = mixes.organisation_token(organisation)
    return hashlib.sha256(token.encode()).hexdigest()
