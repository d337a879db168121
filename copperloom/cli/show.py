"""Formats the responses of entries as text."""

import time

__all__ = ["audit", "change", "drain", "entities", "status"]


def change(answer: dict) -> str:
    """Formats the outcome of a change."""
    lines = [
        f"accepted as version {answer['version']}, in force on "
        f"{answer['in_force']} of {answer['members']} entries after "
        f"{answer['waited_s']:g} s"
    ]
    if answer["behind"]:
        lines.append("not confirmed by: " + ", ".join(answer["behind"]))
    if not answer["majority"]:
        lines.append(
            "not in force at a majority: entries that reach neither the "
            "platform nor a member with this version keep an older one"
        )
    return "\n".join(lines)


def status(answer: dict) -> str:
    """Formats the status of an entry and of the members that it knows."""
    lines = [
        f"{answer['instance']}: version {answer['version']}, preset "
        f"{answer['preset']}, confirmed {_age(answer['confirmed_age_s'])} ago, "
        f"in contact with {answer['contacts']} of {answer['known_members']}"
    ]
    if answer["draining"]:
        lines.append(
            f"{answer['instance']} is draining, {answer['active']} requests "
            "in progress"
        )
    if answer["leaving_targets"]:
        lines.append(
            "draining targets: " + ", ".join(answer["leaving_targets"])
        )
    for peer in answer["members"]:
        tail = ", draining" if peer["leaving"] else ""
        lines.append(
            f"  {peer['instance']} ({peer['data_centre']}, "
            f"{peer['address']}): version {peer['version']}, last answer "
            f"{_age(peer['heard_age_s'])} ago{tail}"
        )
    return "\n".join(lines)


def audit(answer: dict) -> str:
    """Formats the audit trail, in order of versions."""
    lines = []
    for row in answer["audit"]:
        time_text = time.strftime(
            "%Y-%m-%dT%H:%M:%SZ", time.gmtime(row["wall_time_s"])
        )
        operations = [f"put {key}" for key in row["puts"]]
        operations += [f"delete {key}" for key in row["deletes"]]
        note = f" ({row['note']})" if row["note"] else ""
        lines.append(
            f"{row['version']} {time_text} {row['operator']}: "
            f"{', '.join(operations)}{note}"
        )
    return "\n".join(lines) or "no changes"


def entities(answer: dict) -> str:
    """Formats entities, one per line."""
    lines = []
    for value in answer["entities"]:
        pairs = " ".join(
            f"{key}={_text(item)}"
            for key, item in value.items()
            if key != "name"
        )
        in_force = (
            answer["kind"] == "preset" and value["name"] == answer["preset"]
        )
        mark = " (in force)" if in_force else ""
        lines.append(f"{value['name']}{mark} {pairs}")
    lines.append(f"version {answer['version']}")
    return "\n".join(lines)


def drain(answer: dict) -> str:
    """Formats the confirmation that an entry is draining."""
    return (
        f"{answer['instance']} reports that it is not ready; it still accepts "
        "requests and finishes those in progress"
    )


def _age(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.1f} s"


def _text(item) -> str:
    if isinstance(item, list):
        return ",".join(item)
    return str(item).lower() if isinstance(item, bool) else str(item)
