"""Breaks down lost worth by reason, from the logs of all instances.

The worth of a request is the same as in placement decisions. A request that
misses its latency objective loses the share `interference.LATE_LOSS` of its
worth; a request that is not served in full loses all of it. Requests that no
instance received are in no log. With the platform's report, their share appears
as the loss that the logs don't explain.
"""

import collections
import dataclasses

from copperloom.cli import trace
from copperloom.decisions import interference, plans
from copperloom.ingress import metrics
from copperloom.platform import report

__all__ = ["Loss", "find", "table"]

_REJECTED_STATUSES = {"401", "403", "404"}
_INSTANCE_DIED = "its instance died"


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """The loss of requests of one length class for one reason.

    Attributes:
        length: Length class of the prompts.
        reason: Reason for the loss.
        requests: Number of requests.
        share: Lost worth as a share of the worth of all requests in the logs.
    """

    length: str
    reason: str
    requests: int
    share: float


def find(lines: list[trace.Line]) -> list[Loss]:
    """Returns the losses in the logs, the largest first."""
    placed = _last_lines(lines, "placed")
    ended = _last_lines(lines, "outcome")
    lost_worth: collections.Counter = collections.Counter()
    count: collections.Counter = collections.Counter()
    total = 0.0
    for request, line in ended.items():
        if line.fields["status"] in _REJECTED_STATUSES:
            # Correctly rejected, so nothing was lost.
            continue
        worth = plans.worth(_tokens(line))
        total += worth
        reason, share = _reason(line, placed.get(request))
        if reason:
            key = (metrics.prompt_length(_tokens(line)), reason)
            lost_worth[key] += share * worth
            count[key] += 1
    for request, line in placed.items():
        if request not in ended:
            key = (metrics.prompt_length(_tokens(line)), _INSTANCE_DIED)
            worth = plans.worth(_tokens(line))
            total += worth
            lost_worth[key] += worth
            count[key] += 1
    return [
        Loss(*key, count[key], worth / total)
        for key, worth in lost_worth.most_common()
    ]


def table(losses: list[Loss], day_report: report.Report | None = None) -> str:
    """Formats losses as a table, with a report also the rest of the score."""
    rows = [f"{'share':>7} {'requests':>8}  prompts  reason"]
    rows += [
        f"{loss.share:7.4f} {loss.requests:8d}  {loss.length:7}  {loss.reason}"
        for loss in losses
    ]
    if day_report is None:
        return "\n".join(rows)
    missing = 1.0 - day_report.parts[0].earned
    explained = sum(loss.share for loss in losses)
    rows.append(
        f"{missing - explained:7.4f} {'':8}  {'':7}  in no log, or by weighting"
    )
    rows.append(
        f"{missing:7.4f} {'':8}  {'':7}  {day_report.parts[0].name}, in total"
    )
    rows.append("")
    rows += [
        f"{part.missing:7.4f}  {part.name} ({part.weight:g} x "
        f"{1.0 - part.earned:.4f})"
        for part in day_report.parts
    ]
    rows += [
        f"{amount:7.4f}  price: {name}"
        for name, amount in sorted(
            day_report.deductions.items(), key=lambda p: -p[1]
        )
    ]
    rows.append(f"{1.0 - day_report.worth:7.4f}  missing to 1")
    return "\n".join(rows)


def _last_lines(lines: list[trace.Line], event: str) -> dict[str, trace.Line]:
    """Returns the last line of an event by request."""
    return {x.fields["request"]: x for x in lines if x.event == event}


def _tokens(line: trace.Line) -> int:
    return int(line.fields.get("prompt_tokens", "0"))


def _reason(line: trace.Line, placed: trace.Line | None) -> tuple[str, float]:
    """Returns the reason and share of a request's loss; "" and 0 if none."""
    fields = line.fields
    retried_text = ", sent again" if int(fields["sends"]) > 1 else ""
    if fields["outcome"] == "caller_gone":
        return "its caller left", 1.0
    if fields["outcome"] != "answered":
        return f"{fields['status']} {fields['outcome']}{retried_text}", 1.0
    if fields["status"] >= "400":
        return f"{fields['status']} of its target{retried_text}", 1.0
    late = fields.get("late", "")
    if late == "first" and not retried_text:
        objective_s = float(fields["aim_s"])
        foreseen = placed and float(placed.fields["predicted_s"]) > objective_s
        late = (
            "first event, foreseen" if foreseen else "first event, unforeseen"
        )
    return (
        (f"late by its {late}{retried_text}", interference.LATE_LOSS)
        if late
        else ("", 0.0)
    )
