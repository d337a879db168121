"""Typed entities of the configuration that operators store on the platform.

A `Configuration` is immutable and carries the version of its head row. A
change consists of entities to put and keys to delete; applying the changes of
versions 1..N in order yields the configuration of version N.
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
    """Kind of server at a target's address."""

    ENGINE = "engine"
    SERVICE = "service"


class TargetState(enum.StrEnum):
    """State of a target that the operators request."""

    ADMITTED = "admitted"
    RETIRED = "retired"


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer.

    Attributes:
        name: Unique name.
        token_sha256: Hex digest of the bearer token of its callers.
        weight: Relative share of capacity under contention.
        limit_tokens_per_s: Most prompt and answer tokens per second over all
            instances together; 0 for no limit.
    """

    name: str
    token_sha256: str
    weight: float = 1.0
    limit_tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Makes targets available to organisations under one name.

    Attributes:
        name: Unique name; callers use it as the name of the model or service.
        kind: Whether its targets are engines or plain services.
        model: The model that the engines must have loaded ("" for services).
        organisations: Names of the organisations with access; empty for all.
        time_limit_s: Time limit, in seconds, of requests that set none.
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
        data_centre: Data centre in which it runs.
        kind: Engine or plain service.
        serves: Names of models (engine) or deployments (service).
        kv_tokens: KV memory of an engine, in tokens.
        state: Admitted or retired.
        checks_fencing: Whether it rejects orders with an outdated fencing
            number.
        admitted_version: Version of the configuration that last admitted it,
            set when the change is made; overrides earlier reports that it is
            draining.
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
    """Limits and latency objective for normal, peak or maintenance operation.

    Attributes:
        name: Unique name.
        objective: "first_token" minimises the time to the first token of short
            prompts, "slowdown" their slowdown by long prompts.
        short_prompt_tokens: Longest prompt, in tokens, that counts as short.
        short_floor: Least share of engines kept free of long work.
        max_queue_wait_s: Predicted queueing time, in seconds, above which
            requests are refused.
        long_share: Largest share of an engine's KV memory for long work.
        admit_long: Whether long requests are admitted.
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
    """Names the preset in force; its key is always the same."""

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
    """The change made by one version of the configuration.

    Attributes:
        version: The resulting version.
        nonce: Random text that identifies the change if its confirmation is
            lost.
        operator: Name of the operator.
        puts: Keys and values of entities to add or replace.
        deletes: Keys (KIND/NAME) to remove.
        note: Reason given by the operator.
        wall_time_s: Wall-clock time at the writer, in seconds since the epoch;
            for display only.
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
    """One version of the complete configuration.

    Attributes:
        version: Version of the head row; 0 for the empty configuration.
        organisations: Organisations by name.
        organisation_by_token: Organisations by digest of the bearer token.
        deployments: Deployments by name.
        targets: Targets by name.
        presets: Presets by name.
        preset: The preset in force.
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
    """Returns the key of an entity, KIND/NAME."""
    return f"{_KIND_OF[type(entity)]}/{entity.name}"


def encode_entity(entity: Entity) -> tuple[str, dict]:
    """Returns the key and the built-in values of an entity."""
    return entity_key(entity), msgspec.to_builtins(entity)


def decode_entity(key: str, value: dict) -> Entity:
    """Builds an entity from its key and built-in values.

    Raises:
        copperloom.exception.MalformedRequestError: The kind is unknown or a
            value is invalid.
    """
    cls = _KINDS.get(key.partition("/")[0])
    if cls is None:
        raise exception.MalformedRequestError(f"unknown kind of entity: {key}")
    try:
        return msgspec.convert(value, cls)
    except msgspec.ValidationError as error:
        raise exception.MalformedRequestError(f"{key}: {error}") from error


def apply(cfg: Configuration, change: Change) -> Configuration:
    """Returns the configuration that results from a change.

    Only the maps that the change affects are copied, each once and shallowly.

    Raises:
        ValueError: The change does not follow the version of the configuration.
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
    """A configuration under change; copies each map before its first edit."""

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
        """Returns the modifiable copy of a map."""
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
        """Removes an entity if it exists."""
        kind, _, name = key.partition("/")
        cls = _KINDS.get(kind)
        if cls not in self._MAPS:
            return
        old = self.map(self._MAPS[cls]).pop(name, None)
        if isinstance(old, Organisation):
            self.map("organisation_by_token").pop(old.token_sha256, None)

    def done(self, version: int) -> Configuration:
        """Returns the resulting configuration."""
        return dataclasses.replace(
            self.cfg, version=version, preset=self.preset, **self.changed
        )
