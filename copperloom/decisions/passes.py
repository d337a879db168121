"""How long a model engine's passes take.

An engine works in passes. A pass that writes answers takes `stride` steps and
gives each writer its event at the end; prompts are read inside the same
passes. So the pause of a writer is the pass, and a pass grows by whatever
reading stands beside it. The functions here predict those times from the
figures that the operators state for the engines of a service.
"""

from copperloom import routing

__all__ = ["pass_s", "read_s"]


def read_s(engine: routing.EngineSpec, tokens: int) -> float:
    """Predicts the time to read a prompt at one engine, in seconds.

    Each token costs the same, and each pair of a token and an earlier one
    costs a little: long prompts cost with their square.
    """
    pairs = 0.5 * tokens * tokens
    return tokens / engine.read_tokens_per_s + pairs * engine.pair_s


def pass_s(engine: routing.EngineSpec, writers: int, context: int) -> float:
    """Predicts a pass without any reading, in seconds.

    Args:
        engine: The engine's figures.
        writers: Answers being written.
        context: Tokens of context of all of them together.
    """
    step = engine.step_s
    step += writers * engine.per_sequence_s
    step += context * engine.context_s
    return engine.stride * step
