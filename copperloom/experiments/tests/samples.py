"""Mixes, requests and results that the tests share."""

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


def run_of(firsts: dict[int, float], **changes) -> result.Result:
    """Returns a run whose short prompts had these times to first token."""
    one = result.Sample(0, "short", "org-00", 2000, 32, result.OK)
    values = [
        dataclasses.replace(one, index=i, first_s=f, total_s=f)
        for i, f in firsts.items()
    ]
    res = result.Result("test", "x", 1, True, 10.0, values)
    return dataclasses.replace(res, **changes)
