"""Turns the operators' arguments into a change."""

import dataclasses

import msgspec

from copperloom import configuration, exception

__all__ = ["Asked", "delete", "put", "require", "select", "switch"]

_CLASSES = {
    "deployment": configuration.Deployment,
    "organisation": configuration.Organisation,
    "target": configuration.Target,
    "preset": configuration.Preset,
}
# Set by the entry that makes the change.
_NOT_SETTABLE = ("name", "admitted_version")


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A change as an entry is asked for it.

    Attributes:
        operator: Who asks.
        note: Why.
        seen_version: The version that it builds on.
        nonce: Names the change, so that it may be sent to several entries.
        wait_s: Longest wait until it is in force.
        puts: Entities to put, by key.
        deletes: Keys to delete.
    """

    operator: str
    note: str
    seen_version: int
    nonce: str
    wait_s: float
    puts: tuple[tuple[str, dict], ...] = ()
    deletes: tuple[str, ...] = ()


def select(cfg: dict, kind: str) -> dict:
    """Returns the entities of a kind, with the version and the preset."""
    found = [value for key, value in cfg["entities"] if _is(key, kind)]
    return {
        "version": cfg["version"],
        "preset": cfg["preset"],
        "kind": kind,
        "entities": found,
    }


def require(cfg: dict, kind: str, name: str) -> None:
    """Raises SettingsError unless the entity is there."""
    if f"{kind}/{name}" not in dict(cfg["entities"]):
        raise exception.SettingsError(f"no {kind} {name}")


def put(
    asked: Asked, cfg: dict, kind: str, name: str, pairs: list[str]
) -> Asked:
    """Puts an entity: what it was, with the pairs given on top.

    Raises:
        copperloom.exception.SettingsError: A pair is wrong.
    """
    key = f"{kind}/{name}"
    value = dict(cfg["entities"]).get(key, {"name": name})
    merged = {**value, **_parse(kind, pairs)}
    try:
        entity = msgspec.convert(merged, _CLASSES[kind])
    except msgspec.ValidationError as error:
        raise exception.SettingsError(f"{key}: {error}") from error
    pair = configuration.encode_entity(entity)
    return dataclasses.replace(asked, puts=(pair,))


def delete(asked: Asked, kind: str, name: str) -> Asked:
    """Deletes an entity."""
    return dataclasses.replace(asked, deletes=(f"{kind}/{name}",))


def switch(asked: Asked, preset: str) -> Asked:
    """Puts a preset in force."""
    pair = configuration.encode_entity(configuration.PresetInForce(preset))
    return dataclasses.replace(asked, puts=(pair,))


def _is(key: str, kind: str) -> bool:
    return key.partition("/")[0] == kind


def _parse(kind: str, pairs: list[str]) -> dict:
    fields = {f.name: f for f in dataclasses.fields(_CLASSES[kind])}
    values = {}
    for pair in pairs:
        name, equals, text = pair.partition("=")
        if not equals or name not in fields or name in _NOT_SETTABLE:
            known = ", ".join(n for n in fields if n not in _NOT_SETTABLE)
            raise exception.SettingsError(
                f"{pair!r}: a {kind} has KEY=VALUE with {known}"
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
