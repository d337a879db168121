"""Where a day's worth was lost: by reason, from the logs of all instances.

What a request is worth is taken as placement takes it. A request that came late
loses `harm.LATE_LOSS` of it, any other that was not served in full all of it.
Requests that no instance has seen (nobody listened, or the instance died before
it had read them) are in no log; with the platform's report they are what the
logs leave unexplained.
"""

import collections
import dataclasses

from copperloom.cli import trace
from copperloom.decisions import interference, plans
from copperloom.ingress import metrics
from copperloom.platform import report

__all__ = ["Loss", "find", "table"]

_REFUSALS = {"401", "403", "404"}
_DIED = "its instance died"


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """What requests of one length lost for one reason.

    Attributes:
        length: Word for their prompts' length.
        reason: Why.
        requests: How many.
        share: Share of the worth of all requests in the logs.
    """

    length: str
    reason: str
    requests: int
    share: float


def find(lines: list[trace.Line]) -> list[Loss]:
    """Lists what was lost, the largest first."""
    placed = _last(lines, "placed")
    ended = _last(lines, "outcome")
    lost: collections.Counter = collections.Counter()
    count: collections.Counter = collections.Counter()
    total = 0.0
    for request, line in ended.items():
        if line.pairs["status"] in _REFUSALS:
            # Nobody was owed an answer.
            continue
        worth = plans.worth(_tokens(line))
        total += worth
        reason, share = _reason(line, placed.get(request))
        if reason:
            key = (metrics.prompt_length(_tokens(line)), reason)
            lost[key] += share * worth
            count[key] += 1
    for request, line in placed.items():
        if request not in ended:
            key = (metrics.prompt_length(_tokens(line)), _DIED)
            worth = plans.worth(_tokens(line))
            total += worth
            lost[key] += worth
            count[key] += 1
    return [
        Loss(*key, count[key], worth / total)
        for key, worth in lost.most_common()
    ]


def table(losses: list[Loss], told: report.Report | None = None) -> str:
    """Returns the table; with a report it adds up to what is missing to 1."""
    rows = [f"{'share':>7} {'requests':>8}  prompts  reason"]
    rows += [
        f"{loss.share:7.4f} {loss.requests:8d}  {loss.length:7}  {loss.reason}"
        for loss in losses
    ]
    if told is None:
        return "\n".join(rows)
    whole = 1.0 - told.parts[0].earned
    seen = sum(loss.share for loss in losses)
    rows.append(
        f"{whole - seen:7.4f} {'':8}  {'':7}  in no log, or by weighing"
    )
    rows.append(f"{whole:7.4f} {'':8}  {'':7}  {told.parts[0].name}, in all")
    rows.append("")
    rows += [
        f"{part.missing:7.4f}  {part.name} ({part.weight:g} x "
        f"{1.0 - part.earned:.4f})"
        for part in told.parts
    ]
    rows += [
        f"{taken:7.4f}  price: {name}"
        for name, taken in sorted(told.deductions.items(), key=lambda p: -p[1])
    ]
    rows.append(f"{1.0 - told.worth:7.4f}  missing to 1")
    return "\n".join(rows)


def _last(lines: list[trace.Line], event: str) -> dict[str, trace.Line]:
    """Returns each request's last line of an event."""
    return {x.pairs["request"]: x for x in lines if x.event == event}


def _tokens(line: trace.Line) -> int:
    return int(line.pairs.get("prompt_tokens", "0"))


def _reason(line: trace.Line, placed: trace.Line | None) -> tuple[str, float]:
    """Says why a request lost, and which share of its worth; "" if nothing."""
    said = line.pairs
    again = ", sent again" if int(said["sends"]) > 1 else ""
    if said["outcome"] == "caller_gone":
        return "its caller left", 1.0
    if said["outcome"] != "answered":
        return f"{said['status']} {said['outcome']}{again}", 1.0
    if said["status"] >= "400":
        return f"{said['status']} of its target{again}", 1.0
    late = said.get("late", "")
    if late == "first" and not again:
        aim_s = float(said["aim_s"])
        ahead = placed and float(placed.pairs["predicted_s"]) > aim_s
        late = "first event, foreseen" if ahead else "first event, unforeseen"
    return (
        (f"late by its {late}{again}", interference.LATE_LOSS)
        if late
        else ("", 0.0)
    )
