"""The configuration that operators keep on the platform, as typed entities.

A `Configuration` is immutable and carries the version of the head row that it
belongs to. A change is a list of entities to put and keys to delete; applying
the changes of versions 1..N in order gives the configuration of version N.
"""

import dataclasses
import enum

import msgspec

from copperloom import exception

__all__ = [
    "Change",
    "Configuration",
    "Deployment",
    "Entity",
    "Organisation",
    "Preset",
    "PresetInForce",
    "Target",
    "TargetKind",
    "TargetState",
    "apply",
    "decode_entity",
    "encode_entity",
    "entity_key",
]


class TargetKind(enum.StrEnum):
    """What stands behind a target's address."""

    ENGINE = "engine"
    SERVICE = "service"


class TargetState(enum.StrEnum):
    """What the operators want of a target."""

    ADMITTED = "admitted"
    RETIRED = "retired"


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer.

    Attributes:
        name: Unique name.
        token_sha256: Hex digest of the bearer token that its callers show.
        weight: Share under contention, relative to the others'.
        limit_tokens_per_s: Most prompt and answer tokens a second over all
            entries together; 0 sets no limit.
    """

    name: str
    token_sha256: str
    weight: float = 1.0
    limit_tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Binds callers and organisations to targets.

    Attributes:
        name: Unique name; callers give it as the model or service name.
        kind: Whether its targets are engines or plain services.
        model: The model that the engines must have loaded ("" for services).
        organisations: Names of those who may use it; empty allows all.
        time_limit_s: Time limit of a request that sets none.
    """

    name: str
    kind: TargetKind = TargetKind.ENGINE
    model: str = ""
    organisations: tuple[str, ...] = ()
    time_limit_s: float = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A model engine or a plain service.

    Attributes:
        name: Unique name.
        address: IP:port.
        data_centre: Where it stands.
        kind: Engine or plain service.
        serves: Model names (engine) or deployment names (service).
        kv_tokens: An engine's KV memory in tokens.
        state: Admitted or retired.
        checks_fencing: Whether it refuses an order with an old fencing number.
        admitted_version: Version of the configuration that last admitted it,
            set when the change is made; ends earlier signs of its leaving.
    """

    name: str
    address: str
    data_centre: str = ""
    kind: TargetKind = TargetKind.ENGINE
    serves: tuple[str, ...] = ()
    kv_tokens: int = 400_000
    state: TargetState = TargetState.ADMITTED
    checks_fencing: bool = True
    admitted_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Preset:
    """Limits and objective for ordinary days, peaks or maintenance.

    Attributes:
        name: Unique name.
        objective: "first_token" weighs the time to first token of short
            prompts, "slowdown" the slowdown of short prompts by long ones.
        short_prompt_tokens: Prompts up to this length are short.
        short_floor: Least share of engines kept free of long work.
        max_queue_wait_s: Predicted wait above which work is refused.
        long_share: Most of an engine's KV memory that long work may hold.
        admit_long: Whether long work is admitted at all.
    """

    name: str
    objective: str = "first_token"
    short_prompt_tokens: int = 16_000
    short_floor: float = 0.4
    max_queue_wait_s: float = 30.0
    long_share: float = 0.9
    admit_long: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PresetInForce:
    """Names the one preset that is in force; the key is always the same."""

    preset: str
    name: str = "current"


Entity = Organisation | Deployment | Target | Preset | PresetInForce

_KINDS: dict[str, type] = {
    "organisation": Organisation,
    "deployment": Deployment,
    "target": Target,
    "preset": Preset,
    "in_force": PresetInForce,
}
_KIND_OF = {cls: kind for kind, cls in _KINDS.items()}
_DEFAULT_PRESET = Preset(name="default")


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What one version changed.

    Attributes:
        version: The version that it made.
        nonce: Random text of the writer, to find a change again whose
            confirmation was lost.
        operator: Who made it.
        puts: Entities added or replaced.
        deletes: Keys (KIND/NAME) removed.
        note: The operator's reason.
        wall_time_s: Seconds since the epoch at the writer, for people only.
    """

    version: int
    nonce: str
    operator: str
    puts: tuple[tuple[str, dict], ...] = ()
    deletes: tuple[str, ...] = ()
    note: str = ""
    wall_time_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of everything the operators have set.

    Attributes:
        version: Version of the head row; 0 is the empty configuration.
        organisations: By name.
        organisation_by_token: By digest of the bearer token.
        deployments: By name.
        targets: By name.
        presets: By name.
        preset: The one in force.
    """

    version: int = 0
    organisations: dict[str, Organisation] = dataclasses.field(
        default_factory=dict
    )
    organisation_by_token: dict[str, Organisation] = dataclasses.field(
        default_factory=dict
    )
    deployments: dict[str, Deployment] = dataclasses.field(default_factory=dict)
    targets: dict[str, Target] = dataclasses.field(default_factory=dict)
    presets: dict[str, Preset] = dataclasses.field(default_factory=dict)
    preset: Preset = _DEFAULT_PRESET


def entity_key(entity: Entity) -> str:
    """Returns KIND/NAME."""
    return f"{_KIND_OF[type(entity)]}/{entity.name}"


def encode_entity(entity: Entity) -> tuple[str, dict]:
    """Returns the key and the plain values of an entity."""
    return entity_key(entity), msgspec.to_builtins(entity)


def decode_entity(key: str, value: dict) -> Entity:
    """Makes an entity of its key and plain values.

    Raises:
        copperloom.exception.MalformedRequestError: Unknown kind or bad value.
    """
    cls = _KINDS.get(key.partition("/")[0])
    if cls is None:
        raise exception.MalformedRequestError(f"unknown kind of entity: {key}")
    try:
        return msgspec.convert(value, cls)
    except msgspec.ValidationError as error:
        raise exception.MalformedRequestError(f"{key}: {error}") from error


def apply(cfg: Configuration, change: Change) -> Configuration:
    """Returns the configuration that a change makes of the one before it.

    Only the maps that the change touches are copied, so that the cost grows
    with the change, except for one shallow copy of each map touched.

    Raises:
        ValueError: The change is not the one that follows.
    """
    if change.version != cfg.version + 1:
        raise ValueError(f"change {change.version} on version {cfg.version}")
    edit = _Edit(cfg)
    for key in change.deletes:
        edit.delete(key)
    for key, value in change.puts:
        edit.put(decode_entity(key, value))
    return edit.done(change.version)


class _Edit:
    """A configuration being changed; copies each map before its first edit."""

    _MAPS = {
        Organisation: "organisations",
        Deployment: "deployments",
        Target: "targets",
        Preset: "presets",
    }

    def __init__(self, cfg: Configuration):
        self.cfg = cfg
        self.changed: dict[str, dict] = {}
        self.preset = cfg.preset

    def map(self, name: str) -> dict:
        """Returns the copy of a map that may be changed."""
        if name not in self.changed:
            self.changed[name] = dict(getattr(self.cfg, name))
        return self.changed[name]

    def put(self, entity: Entity) -> None:
        """Adds or replaces an entity."""
        if isinstance(entity, PresetInForce):
            presets = self.changed.get("presets", self.cfg.presets)
            self.preset = presets.get(entity.preset, _DEFAULT_PRESET)
            return
        self.delete(entity_key(entity))
        self.map(self._MAPS[type(entity)])[entity.name] = entity
        if isinstance(entity, Organisation):
            self.map("organisation_by_token")[entity.token_sha256] = entity
        if isinstance(entity, Preset) and entity.name == self.preset.name:
            self.preset = entity

    def delete(self, key: str) -> None:
        """Removes an entity if it is there."""
        kind, _, name = key.partition("/")
        cls = _KINDS.get(kind)
        if cls not in self._MAPS:
            return
        old = self.map(self._MAPS[cls]).pop(name, None)
        if isinstance(old, Organisation):
            self.map("organisation_by_token").pop(old.token_sha256, None)

    def done(self, version: int) -> Configuration:
        """Returns the finished configuration."""
        return dataclasses.replace(
            self.cfg, version=version, preset=self.preset, **self.changed
        )
