"""Turns single mechanisms off for ablation experiments.

Each switch names a constant and the value that disables its mechanism. It is
meant for experiments only: the benefit of a mechanism under a load shows when
the same load is replayed without it.
"""

import dataclasses
import importlib

from copperloom import logs

__all__ = ["MECHANISMS", "Switch", "turn_off"]

_NEVER = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Switch:
    """A constant that can disable a mechanism.

    Attributes:
        module: Module of the constant, relative to `copperloom`.
        constant: Name of the constant.
        off: The value that disables the mechanism.
    """

    module: str
    constant: str
    off: float


MECHANISMS: dict[str, tuple[Switch, ...]] = {
    # Decodes are packed on few engines, which leaves others for prefills.
    "gathering": (Switch("decisions.planner", "PACK_COST", 0.0),),
    # Engines with little free memory are avoided.
    "full_memory": (Switch("decisions.planner", "FULL_COST", 0.0),),
    # Long prompts are split into parts for several engines.
    "parts": (Switch("decisions.planner", "SHORTEST_PART_S", _NEVER),),
    # Each additional part has a cost.
    "part_price": (Switch("decisions.planner", "PART_COST", 0.0),),
    # Local engines are preferred.
    "near": (Switch("decisions.planner", "LOCAL_GAIN", 0.0),),
    # Prompts whose cost to other requests exceeds their worth are refused.
    "refusal": (Switch("decisions.planner", "REFUSE_COST_RATIO", _NEVER),),
    # Long prompts are deferred until engines become free.
    "waiting": (Switch("decisions.deferral", "COSTLY_SHARE", _NEVER),),
    # Interference includes requests that arrive during a prefill.
    "arrivals": (Switch("decisions.interference", "SHORT_ANSWER_S", _NEVER),),
    # Waiting has a cost, even within the latency objective.
    "wait_price": (Switch("decisions.interference", "WAIT_COST", 0.0),),
    # Targets that failed recently are avoided.
    "penalties": (
        Switch("decisions.planner", "PENALTY_COST", 0.0),
        Switch("decisions.health", "MAX_PENALTY", 0.0),
    ),
    # Penalties that peers report are applied.
    "hearsay": (Switch("decisions.health", "PEER_DISCOUNT", 0.0),),
    # Targets that decode slowly are penalised.
    "pace": (Switch("decisions.decode_rate", "SLOW_FACTOR", _NEVER),),
    # Stalled streams are resumed at another target.
    "stalls": (Switch("ingress.relay", "STALL_SHARE", _NEVER),),
    # Streams without a first event are retried at another target.
    "first_event": (
        Switch("decisions.timeouts", "FIRST_SLACK_S", _NEVER),
        Switch("decisions.timeouts", "SOON_SLACK_S", _NEVER),
    ),
    # Engines admit short prompts before long ones.
    "priority": (Switch("ingress.forward", "LONG_PRIORITY", 1),),
    # A few instances watch the tables and send updates to the others.
    "followers": (Switch("ingress.watchers", "WATCHERS", 1_000_000),),
    # Requests that arrive before routes are known are held.
    "hold_at_start": (Switch("daemons.front", "START_HOLD_S", 0.0),),
}


def turn_off(names: tuple[str, ...]) -> None:
    """Disables mechanisms for the lifetime of the process.

    Args:
        names: Keys of MECHANISMS.
    """
    for name in names:
        for switch in MECHANISMS[name]:
            module = importlib.import_module(f"copperloom.{switch.module}")
            setattr(module, switch.constant, switch.off)
        logs.event("mechanism_off", mechanism=name)
