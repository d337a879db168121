"""Timeouts of silent streams: before a repeat, and until callers disconnect.

The time after which callers abandon a stream is specified by the platform.
"""

__all__ = [
    "abandon_after_s",
    "first_event_timeout_s",
    "is_explained_by_load",
    "last_resort_s",
]

# A caller abandons a stream after a silence of ABANDON_S seconds or of these
# multiples of its first-token or inter-token objective, whichever is longest.
ABANDON_S = 2.0
ABANDON_OBJECTIVES = 4.0
ABANDON_PAUSES = 8.0
# Timeout of the first event: a multiple of the predicted time, with slack for
# work that has arrived since. Callers of short streams leave after two seconds.
FIRST_SLACK_S = 1.0
FIRST_FACTOR = 3.0
# Lower bound of the timeout that lets a repeat meet the objective. A shorter
# one would repeat prefills of targets that are merely slow.
SOON_SLACK_S = 0.5
SOON_FACTOR = 1.5
# Predicted time of a repeat, network included, relative to the first attempt.
REPEAT_FACTOR = 1.2
# Utilisation of the engines above which the silence of one is no sign of a
# fault: prompts placed there miss their objectives anyway.
LOADED = 0.8
# Interval at which the utilisation is asked for again.
RECHECK_S = 1.0
# Shares of the time until callers leave, and of the time limit, after which a
# silent engine is given up in any case. The rest is for the retry.
LAST_RESORT_SHARE = 0.75
LAST_RESORT_LIMIT_SHARE = 0.6


def first_event_timeout_s(predicted_s: float, left_s: float) -> float:
    """Returns the timeout of a stream's first event, in seconds.

    If possible, the timeout leaves enough time for a repeat at another target
    within the objective.

    Args:
        predicted_s: Predicted time to the first event, in seconds.
        left_s: Time left until the first event misses its objective, in
            seconds.
    """
    timeout_s = FIRST_SLACK_S + FIRST_FACTOR * predicted_s
    repeat_by_s = left_s - REPEAT_FACTOR * predicted_s
    if repeat_by_s < SOON_SLACK_S + SOON_FACTOR * predicted_s:
        return timeout_s
    return min(timeout_s, repeat_by_s)


def is_explained_by_load(busy: float) -> bool:
    """Returns whether an engine is silent because all engines are full.

    The load is a burst of long prompts. A retry then reads the whole prompt
    again beside prompts that are late already, and delays these as well.

    Args:
        busy: Utilisation of the engines, see `spillover.utilisation`.
    """
    return busy >= LOADED


def last_resort_s(
    objective_s: float, pause_aim_s: float, limit_s: float
) -> float:
    """Returns the time after which a silent engine is given up in any case.

    A retry that can't meet the objective any more gains little, while the
    prompt is read twice, so it comes as late as it can still be answered.

    Args:
        objective_s: First-token objective, in seconds.
        pause_aim_s: Inter-token objective, in seconds.
        limit_s: Time limit of the request, in seconds.
    """
    return min(
        LAST_RESORT_SHARE * abandon_after_s(objective_s, pause_aim_s),
        LAST_RESORT_LIMIT_SHARE * limit_s,
    )


def abandon_after_s(objective_s: float, pause_aim_s: float) -> float:
    """Returns the seconds of silence after which callers abandon a stream.

    Args:
        objective_s: First-token objective, in seconds; 0 once the first event
            has come.
        pause_aim_s: Inter-token objective, in seconds.
    """
    return max(
        ABANDON_S,
        ABANDON_OBJECTIVES * objective_s,
        ABANDON_PAUSES * pause_aim_s,
    )
