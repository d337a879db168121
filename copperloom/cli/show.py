"""Answers as text for people."""

import time

__all__ = ["audit", "change", "drain", "entities", "status"]


def change(answer: dict) -> str:
    """Tells the version that a change made and where it is in force."""
    lines = [
        f"accepted as version {answer['version']}, in force on "
        f"{answer['in_force']} of {answer['members']} entries after "
        f"{answer['waited_s']:g} s"
    ]
    if answer["behind"]:
        lines.append("not heard from yet: " + ", ".join(answer["behind"]))
    if not answer["majority"]:
        lines.append(
            "not told to more than half: entries that see neither the "
            "platform nor these may go on without it until they do"
        )
    return "\n".join(lines)


def status(answer: dict) -> str:
    """Tells who has which version."""
    lines = [
        f"{answer['instance']}: version {answer['version']}, preset "
        f"{answer['preset']}, proved {_age(answer['confirmed_age_s'])} ago, "
        f"in contact with {answer['contacts']} of {answer['known_members']}"
    ]
    if answer["draining"]:
        lines.append(
            f"{answer['instance']} is draining, {answer['active']} requests "
            "in progress"
        )
    if answer["leaving_targets"]:
        lines.append("leaving targets: " + ", ".join(answer["leaving_targets"]))
    for peer in answer["members"]:
        tail = ", leaving" if peer["leaving"] else ""
        lines.append(
            f"  {peer['instance']} ({peer['data_centre']}, "
            f"{peer['address']}): version {peer['version']}, heard "
            f"{_age(peer['heard_age_s'])} ago{tail}"
        )
    return "\n".join(lines)


def audit(answer: dict) -> str:
    """Tells who changed what, the newest last."""
    lines = []
    for row in answer["audit"]:
        when = time.strftime(
            "%Y-%m-%dT%H:%M:%SZ", time.gmtime(row["wall_time_s"])
        )
        what = [f"put {key}" for key in row["puts"]]
        what += [f"delete {key}" for key in row["deletes"]]
        note = f" ({row['note']})" if row["note"] else ""
        lines.append(
            f"{row['version']} {when} {row['operator']}: "
            f"{', '.join(what)}{note}"
        )
    return "\n".join(lines) or "no changes"


def entities(answer: dict) -> str:
    """Lists entities, one a line."""
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
    """Tells that an instance drains."""
    return (
        f"{answer['instance']} says that it is not ready; it takes what still "
        "comes and finishes what it has"
    )


def _age(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.1f} s"


def _text(item) -> str:
    if isinstance(item, list):
        return ",".join(item)
    return str(item).lower() if isinstance(item, bool) else str(item)
