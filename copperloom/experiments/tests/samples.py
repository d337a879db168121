"""Mixes, requests and results shared by the tests."""

import dataclasses

from copperloom.experiments import arrivals, mixes, result

__all__ = ["REQUEST", "mix", "run_of"]

REQUEST = arrivals.Arrival(0, 0.0, "org-00", arrivals.SHORT, 2000, 32)


def mix(**load) -> mixes.LoadSettings:
    sections = {
        f.name: f.type() for f in dataclasses.fields(mixes.LoadSettings)
    }
    sections["load"] = dataclasses.replace(
        sections["load"], name="test", **load
    )
    return mixes.LoadSettings(**sections)


def run_of(first_token_s: dict[int, float], **changes) -> result.Result:
    """Returns a run of short prompts with given times to first token.

    Args:
        first_token_s: Times in seconds by request index.
        **changes: Fields of the result that differ from the defaults.
    """
    sample = result.Sample(0, "short", "org-00", 2000, 32, result.OK)
    run_samples = [
        dataclasses.replace(
            sample, index=index, first_s=seconds, total_s=seconds
        )
        for index, seconds in first_token_s.items()
    ]
    res = result.Result("test", "x", 1, True, 10.0, run_samples)
    return dataclasses.replace(res, **changes)
