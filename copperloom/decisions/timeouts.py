"""How long a stream may keep silent: for its caller, and before it is repeated.

When callers leave is as the platform states for all of them.
"""

__all__ = ["first_event_timeout_s", "abandon_after_s"]

# A caller leaves a stream that shows nothing for this time, or for so many
# times its objective or accepted pause, whichever is longest.
ABANDON_S = 2.0
ABANDON_OBJECTIVES = 4.0
ABANDON_PAUSES = 8.0
# Patience for the first event: what was predicted, with room for what came in
# between. Short streams' callers leave after two seconds.
FIRST_SLACK_S = 1.0
FIRST_FACTOR = 3.0
# Least patience where a repeat would still be in time: below it a target that
# is only slow would be given up, and its reading be done twice.
SOON_SLACK_S = 0.5
SOON_FACTOR = 1.5
# A repeat takes what the first try was predicted to take, and the way.
REPEAT_FACTOR = 1.2


def first_event_timeout_s(predicted_s: float, left_s: float) -> float:
    """Returns how long a target may keep silent before it is given up.

    Made for seconds in which many engines lose answers: a prompt of 300,000
    tokens that several engines read in one second waited for four, its whole
    objective, before it was repeated.

    Args:
        predicted_s: Predicted time to the first event.
        left_s: Time left until the first event is late.
    """
    patience_s = FIRST_SLACK_S + FIRST_FACTOR * predicted_s
    in_time_s = left_s - REPEAT_FACTOR * predicted_s
    if in_time_s < SOON_SLACK_S + SOON_FACTOR * predicted_s:
        return patience_s
    return min(patience_s, in_time_s)


def abandon_after_s(objective_s: float, pause_aim_s: float) -> float:
    """Returns the silence after which a caller leaves, in seconds.

    Args:
        objective_s: Within which the first event should come; 0 if it has.
        pause_aim_s: Longest pause that the caller accepts.
    """
    return max(
        ABANDON_S,
        ABANDON_OBJECTIVES * objective_s,
        ABANDON_PAUSES * pause_aim_s,
    )
