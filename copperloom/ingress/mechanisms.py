"""Turns single mechanisms off for ablation experiments.

Each switch names a constant and the value that disables its mechanism. Running
the same load with and without a mechanism shows its effect. The switches are
not meant for production.
"""

import dataclasses
import importlib

from copperloom import logs

__all__ = ["MECHANISMS", "Switch", "turn_off"]

# As a threshold or minimum, a value that is never reached.
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
    # Packs decodes on few engines, so that the others are free for prefills.
    "gathering": (Switch("decisions.planner", "PACK_COST", 0.0),),
    # Prefers engines with much free memory for decodes.
    "full_memory": (Switch("decisions.planner", "FULL_COST", 0.0),),
    # Splits long prompts into parts that several engines prefill in parallel.
    "parts": (Switch("decisions.planner", "SHORTEST_PART_S", _NEVER),),
    # Adds a cost for each part after the first, so that splits stay small.
    "part_price": (Switch("decisions.planner", "PART_COST", 0.0),),
    # Prefers lead engines in the same data centre.
    "near": (Switch("decisions.planner", "LOCAL_GAIN", 0.0),),
    # Refuses prompts that would cost other requests more than they are worth.
    "refusal": (Switch("decisions.planner", "REFUSE_COST_RATIO", _NEVER),),
    # Defers long prompts if a later placement is expected to cost less.
    "waiting": (Switch("decisions.deferral", "COSTLY_SHARE", _NEVER),),
    # Includes requests that will arrive during a prefill in its interference.
    "arrivals": (Switch("decisions.interference", "SHORT_ANSWER_S", _NEVER),),
    # Prefers shorter waits among placements that meet all objectives.
    "wait_price": (Switch("decisions.interference", "WAIT_COST", 0.0),),
    # Avoids targets that failed recently.
    "penalties": (
        Switch("decisions.planner", "PENALTY_COST", 0.0),
        Switch("decisions.health", "MAX_PENALTY", 0.0),
    ),
    # Applies the penalties of targets that peers report.
    "hearsay": (Switch("decisions.health", "PEER_DISCOUNT", 0.0),),
    # Penalises targets that decode slowly.
    "pace": (Switch("decisions.decode_rate", "SLOW_FACTOR", _NEVER),),
    # Resumes stalled streams at another target.
    "stalls": (Switch("ingress.relay", "STALL_SHARE", _NEVER),),
    # Retries streams at another target if the first event is overdue.
    "first_event": (
        Switch("decisions.timeouts", "FIRST_SLACK_S", _NEVER),
        Switch("decisions.timeouts", "SOON_SLACK_S", _NEVER),
    ),
    # Waits on for a late first event of a long prompt while engines are full.
    "withheld_retries": (Switch("decisions.timeouts", "LOADED", _NEVER),),
    # Makes engines admit short prompts before long ones.
    "priority": (Switch("ingress.forward", "LONG_PRIORITY", 1),),
    # Lets only a few instances watch the tables and update the others.
    "followers": (Switch("ingress.watchers", "WATCHERS", 1_000_000),),
    # Multiplies predicted times by the observed speeds of targets.
    "speeds": (Switch("decisions.target_speed", "MIN_SAMPLES", _NEVER),),
    # Prefers other targets than those that reject requests of peers.
    "hints": (Switch("decisions.backoff", "MAX_HINT_S", 0.0),),
    # Sends rejected requests to more targets than they may run on.
    "rejections": (Switch("ingress.rejections", "MAX_REJECTIONS", 0),),
    # Holds requests that arrive before routes are known.
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
