"""Encodes whole configurations for the object store and for other entries."""

import msgspec

from copperloom import configuration, exception
from copperloom.platform import interface
from copperloom.utils import malformed

__all__ = ["EVERY", "ROW", "decode", "encode", "load", "save"]

# Number of versions between snapshots.
EVERY = 50
ROW = "config/snapshot"
_CALL_TIMEOUT_S = 5.0


class _Snapshot(msgspec.Struct):
    version: int
    entities: list[tuple[str, dict]]


class _Pointer(msgspec.Struct):
    version: int
    object: str


def encode(cfg: configuration.Configuration) -> bytes:
    """Encodes a configuration as bytes."""
    entities = [
        *cfg.organisations.values(),
        *cfg.deployments.values(),
        *cfg.targets.values(),
        *cfg.presets.values(),
    ]
    if cfg.preset.name in cfg.presets:
        # Follows the presets, since it refers to one of them.
        entities.append(configuration.PresetInForce(cfg.preset.name))
    pairs = [configuration.encode_entity(entity) for entity in entities]
    return msgspec.json.encode(_Snapshot(cfg.version, pairs))


def decode(data: bytes) -> configuration.Configuration:
    """Decodes a configuration from the output of `encode`.

    Raises:
        copperloom.exception.MalformedRequestError: The bytes are not a valid
            snapshot.
    """
    try:
        parsed = msgspec.json.decode(data, type=_Snapshot)
    except malformed.ERRORS as error:
        raise exception.MalformedRequestError(
            f"invalid snapshot: {error}"
        ) from error
    if parsed.version == 0:
        return configuration.Configuration()
    empty = configuration.Configuration(version=parsed.version - 1)
    change = configuration.Change(
        version=parsed.version, nonce="", operator="", puts=parsed.entities
    )
    return configuration.apply(empty, change)


async def save(
    platform: interface.Platform, cfg: configuration.Configuration
) -> None:
    """Stores a configuration as the newest snapshot, unless it is outdated.

    The object is written before the row that refers to it, so that a reader
    never loads an incomplete one.
    """
    row = await platform.read(ROW, timeout_s=_CALL_TIMEOUT_S)
    if row.version and _pointer(row).version >= cfg.version:
        return
    name = f"config-{cfg.version:012d}"
    await platform.put_object(name, encode(cfg), timeout_s=_CALL_TIMEOUT_S)
    pointer = msgspec.to_builtins(_Pointer(cfg.version, name))
    await platform.transact(
        [interface.Condition(ROW, row.version)],
        [interface.Write(ROW, pointer)],
        timeout_s=_CALL_TIMEOUT_S,
    )


async def load(
    platform: interface.Platform, *, timeout_s: float
) -> configuration.Configuration | None:
    """Returns the configuration of the newest snapshot, or None without one."""
    row = await platform.read(ROW, timeout_s=timeout_s)
    if not row.version:
        return None
    data = await platform.get_object(_pointer(row).object, timeout_s=timeout_s)
    return None if data is None else decode(data)


def _pointer(row: interface.Row) -> _Pointer:
    return msgspec.convert(row.value, _Pointer)
