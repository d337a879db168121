"""Builds configuration changes from command-line arguments."""

import dataclasses

import msgspec

from copperloom import configuration, exception

__all__ = ["ChangeRequest", "delete", "put", "require", "select", "switch"]

_CLASSES = {
    "deployment": configuration.Deployment,
    "organisation": configuration.Organisation,
    "target": configuration.Target,
    "preset": configuration.Preset,
}
# Set by the entry that applies the change.
_NOT_SETTABLE = ("name", "admitted_version")


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """The request of a change, as sent to an entry.

    Attributes:
        operator: Name of the operator.
        note: Reason for the change.
        seen_version: Version that the change is based on.
        nonce: Random id of the change, which makes it safe to send to several
            entries.
        wait_s: Maximum time to wait until the change is in force, in seconds.
        puts: (key, value) of entities to add or replace.
        deletes: Keys of entities to delete.
    """

    operator: str
    note: str
    seen_version: int
    nonce: str
    wait_s: float
    puts: tuple[tuple[str, dict], ...] = ()
    deletes: tuple[str, ...] = ()


def select(cfg: dict, kind: str) -> dict:
    """Returns the entities of a kind with the version and active preset."""
    entities = [value for key, value in cfg["entities"] if _is_kind(key, kind)]
    return {
        "version": cfg["version"],
        "preset": cfg["preset"],
        "kind": kind,
        "entities": entities,
    }


def require(cfg: dict, kind: str, name: str) -> None:
    """Raises SettingsError unless the entity exists."""
    if f"{kind}/{name}" not in dict(cfg["entities"]):
        raise exception.SettingsError(f"no {kind} named {name}")


def put(
    request: ChangeRequest, cfg: dict, kind: str, name: str, pairs: list[str]
) -> ChangeRequest:
    """Adds a put of an entity to a change.

    Existing values of the entity are kept unless a pair replaces them.

    Args:
        request: The change.
        cfg: The configuration in force, as returned by an entry.
        kind: Kind of the entity.
        name: Name of the entity.
        pairs: KEY=VALUE of the fields to set.

    Raises:
        copperloom.exception.SettingsError: A pair has an unknown key or an
            invalid value.
    """
    key = f"{kind}/{name}"
    value = dict(cfg["entities"]).get(key, {"name": name})
    merged = {**value, **_parse(kind, pairs)}
    try:
        entity = msgspec.convert(merged, _CLASSES[kind])
    except msgspec.ValidationError as error:
        raise exception.SettingsError(f"{key}: {error}") from error
    pair = configuration.encode_entity(entity)
    return dataclasses.replace(request, puts=(pair,))


def delete(request: ChangeRequest, kind: str, name: str) -> ChangeRequest:
    """Adds the deletion of an entity to a change."""
    return dataclasses.replace(request, deletes=(f"{kind}/{name}",))


def switch(request: ChangeRequest, preset: str) -> ChangeRequest:
    """Adds the activation of a preset to a change."""
    pair = configuration.encode_entity(configuration.PresetInForce(preset))
    return dataclasses.replace(request, puts=(pair,))


def _is_kind(key: str, kind: str) -> bool:
    return key.partition("/")[0] == kind


def _parse(kind: str, pairs: list[str]) -> dict:
    fields = {f.name: f for f in dataclasses.fields(_CLASSES[kind])}
    values = {}
    for pair in pairs:
        name, equals, text = pair.partition("=")
        if not equals or name not in fields or name in _NOT_SETTABLE:
            known = ", ".join(n for n in fields if n not in _NOT_SETTABLE)
            raise exception.SettingsError(
                f"{pair!r}: expected KEY=VALUE, {kind} keys are {known}"
            )
        values[name] = _value(fields[name], text)
    return values


def _value(field: dataclasses.Field, text: str):
    if field.type == tuple[str, ...]:
        return [part.strip() for part in text.split(",") if part.strip()]
    try:
        return msgspec.convert(text, field.type, strict=False)
    except msgspec.ValidationError as error:
        raise exception.SettingsError(f"{field.name}: {error}") from error
