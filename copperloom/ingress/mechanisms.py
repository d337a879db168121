"""Mechanisms that can be turned off, to measure what each is worth.

Each switch is a constant and the value at which its mechanism does nothing.
Meant for measuring only: what a mechanism is worth under a load is known when
the same load has been played without it.
"""

import dataclasses
import importlib

from copperloom import logs

__all__ = ["MECHANISMS", "Switch", "turn_off"]

_NEVER = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Switch:
    """A constant that turns a mechanism off.

    Attributes:
        module: Its module, below `copperloom`.
        constant: Its name.
        off: The value at which the mechanism does nothing.
    """

    module: str
    constant: str
    off: float


MECHANISMS: dict[str, tuple[Switch, ...]] = {
    # Answers are written on few engines, so that others are free to read.
    "gathering": (Switch("decisions.planner", "PACK_COST", 0.0),),
    # Engines with full memory are avoided.
    "full_memory": (Switch("decisions.planner", "FULL_COST", 0.0),),
    # Long prompts are read by several engines.
    "parts": (Switch("decisions.planner", "SHORTEST_PART_S", _NEVER),),
    # Each part more has a price.
    "part_price": (Switch("decisions.planner", "PART_COST", 0.0),),
    # Engines in the same data centre go first.
    "near": (Switch("decisions.planner", "LOCAL_GAIN", 0.0),),
    # Prompts that cost others more than they are worth are refused.
    "refusal": (Switch("decisions.planner", "REFUSE_COST_RATIO", _NEVER),),
    # Long prompts wait for engines that come free.
    "waiting": (Switch("decisions.deferral", "COSTLY_SHARE", _NEVER),),
    # Requests that come while engines read count.
    "arrivals": (Switch("decisions.interference", "SHORT_ANSWER_S", _NEVER),),
    # Waiting costs, also when it is in time.
    "wait_price": (Switch("decisions.interference", "WAIT_COST", 0.0),),
    # Targets that failed of late are avoided.
    "penalties": (
        Switch("decisions.planner", "PENALTY_COST", 0.0),
        Switch("decisions.health", "MAX_PENALTY", 0.0),
    ),
    # Penalties are told to peers.
    "hearsay": (Switch("decisions.health", "PEER_DISCOUNT", 0.0),),
    # Targets that write slowly are noticed.
    "pace": (Switch("decisions.decode_rate", "SLOW_FACTOR", _NEVER),),
    # Streams that stand still are taken up elsewhere.
    "stalls": (Switch("ingress.relay", "STALL_SHARE", _NEVER),),
    # Streams without a first event are asked for elsewhere.
    "first_event": (
        Switch("decisions.timeouts", "FIRST_SLACK_S", _NEVER),
        Switch("decisions.timeouts", "SOON_SLACK_S", _NEVER),
    ),
    # Short prompts go before long ones at an engine.
    "priority": (Switch("ingress.forward", "LONG_PRIORITY", 1),),
    # A few instances follow the tables, and tell the others.
    "followers": (Switch("ingress.watchers", "WATCHERS", 1_000_000),),
    # Requests that come before routes are known are held.
    "hold_at_start": (Switch("daemons.front", "START_HOLD_S", 0.0),),
}


def turn_off(names: tuple[str, ...]) -> None:
    """Turns mechanisms off for the life of the process.

    Args:
        names: Which ones; each is in MECHANISMS.
    """
    for name in names:
        for switch in MECHANISMS[name]:
            module = importlib.import_module(f"copperloom.{switch.module}")
            setattr(module, switch.constant, switch.off)
        logs.event("mechanism_off", mechanism=name)
