"""Whole configurations as bytes, in the object store and between entries."""

import msgspec

from copperloom import configuration, exception
from copperloom.platform import interface

__all__ = ["EVERY", "ROW", "decode", "encode", "load", "save"]

EVERY = 50
ROW = "config/snapshot"
_CALL_S = 5.0


class _Snapshot(msgspec.Struct):
    version: int
    entities: list[tuple[str, dict]]


class _Pointer(msgspec.Struct):
    version: int
    object: str


def encode(cfg: configuration.Configuration) -> bytes:
    """Returns a configuration as bytes."""
    entities = [
        *cfg.organisations.values(),
        *cfg.deployments.values(),
        *cfg.targets.values(),
        *cfg.presets.values(),
    ]
    if cfg.preset.name in cfg.presets:
        # After the presets, since it names one of them.
        entities.append(configuration.PresetInForce(cfg.preset.name))
    pairs = [configuration.encode_entity(entity) for entity in entities]
    return msgspec.json.encode(_Snapshot(cfg.version, pairs))


def decode(data: bytes) -> configuration.Configuration:
    """Makes a configuration of the bytes of `encode`.

    Raises:
        copperloom.exception.MalformedRequestError: The bytes are not one.
    """
    try:
        whole = msgspec.json.decode(data, type=_Snapshot)
    except msgspec.MsgspecError as error:
        raise exception.MalformedRequestError(f"snapshot: {error}") from error
    if whole.version == 0:
        return configuration.Configuration()
    empty = configuration.Configuration(version=whole.version - 1)
    change = configuration.Change(
        version=whole.version, nonce="", operator="", puts=whole.entities
    )
    return configuration.apply(empty, change)


async def save(
    platform: interface.Platform, cfg: configuration.Configuration
) -> None:
    """Stores a configuration as the newest snapshot, unless a newer is there.

    The object is complete before the row names it, so that a reader never
    finds half of one.
    """
    row = await platform.read(ROW, timeout_s=_CALL_S)
    if row.version and _pointer(row).version >= cfg.version:
        return
    name = f"config-{cfg.version:012d}"
    await platform.put_object(name, encode(cfg), timeout_s=_CALL_S)
    pointer = msgspec.to_builtins(_Pointer(cfg.version, name))
    await platform.transact(
        [interface.Condition(ROW, row.version)],
        [interface.Write(ROW, pointer)],
        timeout_s=_CALL_S,
    )


async def load(
    platform: interface.Platform, *, timeout_s: float
) -> configuration.Configuration | None:
    """Returns the newest snapshot, None if there is none."""
    row = await platform.read(ROW, timeout_s=timeout_s)
    if not row.version:
        return None
    data = await platform.get_object(_pointer(row).object, timeout_s=timeout_s)
    return None if data is None else decode(data)


def _pointer(row: interface.Row) -> _Pointer:
    return msgspec.convert(row.value, _Pointer)
