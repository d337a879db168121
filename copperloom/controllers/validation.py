"""Validates a change of the configuration before it is committed.

Validation finds operators' mistakes within one change. Conflicts between
changes are detected by the version alone.
"""

import ipaddress
import re

from copperloom import configuration, exception

__all__ = ["MAX_ENTITIES", "check"]

MAX_ENTITIES = 500
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_OBJECTIVES = ("first_token", "slowdown")
_MAX_PORT = 65535


def check(
    cfg: configuration.Configuration,
    puts: tuple[tuple[str, dict], ...],
    deletes: tuple[str, ...],
) -> None:
    """Checks a change against the configuration that it would result in.

    Args:
        cfg: The configuration that the change builds on.
        puts: Entities to add or replace, by key.
        deletes: Keys to remove.

    Raises:
        copperloom.exception.MalformedRequestError: The change is invalid; the
            message names the entity and the problem.
    """
    if not 0 < len(puts) + len(deletes) <= MAX_ENTITIES:
        _fail(f"a change must put or delete 1 to {MAX_ENTITIES} entities")
    entities = [_decode_entity(key, value) for key, value in puts]
    change = configuration.Change(
        version=cfg.version + 1,
        nonce="",
        operator="",
        puts=tuple(puts),
        deletes=tuple(deletes),
    )
    after = configuration.apply(cfg, change)
    for entity in entities:
        _CHECKS[type(entity)](after, entity)
    for key in deletes:
        _check_delete(cfg, after, key)


def _fail(problem: str):
    raise exception.MalformedRequestError(problem)


def _decode_entity(key: str, value: dict) -> configuration.Entity:
    entity = configuration.decode_entity(key, value)
    if configuration.entity_key(entity) != key:
        _fail(f"{key}: name must match the key, but is {entity.name!r}")
    if not _NAME.fullmatch(entity.name):
        _fail(
            f"{key}: name must have 1 to 100 characters of A-Z a-z 0-9 . _ - "
            "and start with a letter or digit"
        )
    return entity


def _check_organisation(after, org: configuration.Organisation) -> None:
    if not _DIGEST.fullmatch(org.token_sha256):
        _fail(
            f"organisation {org.name}: token_sha256 must have 64 digits 0-9 a-f"
        )
    if not 0 < org.weight <= 1e6:
        _fail(
            f"organisation {org.name}: weight must be greater than 0 and at "
            "most 1000000"
        )
    if org.limit_tokens_per_s < 0:
        _fail(
            f"organisation {org.name}: limit_tokens_per_s must not be negative"
        )
    if after.organisation_by_token.get(org.token_sha256) != org:
        _fail(
            f"organisation {org.name}: another organisation has the same token"
        )
    same_token = [
        other.name
        for other in after.organisations.values()
        if other.token_sha256 == org.token_sha256 and other.name != org.name
    ]
    if same_token:
        _fail(
            f"organisation {org.name}: organisation {same_token[0]} has the "
            "same token"
        )


def _check_deployment(after, dep: configuration.Deployment) -> None:
    if dep.kind is configuration.TargetKind.ENGINE and not dep.model:
        _fail(f"deployment {dep.name}: an engine deployment needs a model")
    if dep.time_limit_s <= 0:
        _fail(f"deployment {dep.name}: time_limit_s must be greater than 0")
    for name in dep.organisations:
        if name not in after.organisations:
            _fail(f"deployment {dep.name}: unknown organisation {name}")


def _check_target(after, tgt: configuration.Target) -> None:
    host, _, port = tgt.address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        _fail(f"target {tgt.name}: address {tgt.address!r} is not an IP:port")
    if not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        _fail(
            f"target {tgt.name}: address {tgt.address!r} needs a port from 1 "
            "to 65535"
        )
    if tgt.kind is configuration.TargetKind.ENGINE and tgt.kv_tokens <= 0:
        _fail(
            f"target {tgt.name}: kv_tokens of an engine must be greater than 0"
        )


def _check_preset(after, preset: configuration.Preset) -> None:
    if preset.objective not in _OBJECTIVES:
        _fail(f"preset {preset.name}: objective must be one of {_OBJECTIVES}")
    if preset.short_prompt_tokens <= 0 or preset.max_queue_wait_s <= 0:
        _fail(
            f"preset {preset.name}: short_prompt_tokens and max_queue_wait_s "
            "must be greater than 0"
        )
    for name in ("short_floor", "long_share"):
        if not 0 <= getattr(preset, name) <= 1:
            _fail(f"preset {preset.name}: {name} must be between 0 and 1")


def _check_in_force(after, chosen: configuration.PresetInForce) -> None:
    if chosen.name != "current":
        _fail("the preset in force must have the key in_force/current")
    if chosen.preset not in after.presets:
        _fail(f"in_force/current: unknown preset {chosen.preset}")
    if after.preset.name != chosen.preset:
        # In the opposite order the change would apply the default preset
        # without an error.
        _fail("a change must put a preset before the entity that selects it")


def _check_delete(cfg, after, key: str) -> None:
    kind, _, name = key.partition("/")
    known = {
        "organisation": cfg.organisations,
        "deployment": cfg.deployments,
        "target": cfg.targets,
        "preset": cfg.presets,
    }
    if kind not in known:
        _fail(f"{key}: entities of this kind can't be deleted")
    if name not in known[kind]:
        _fail(f"can't delete unknown {kind} {name}")
    if kind == "preset" and after.preset.name == name:
        _fail(f"preset {name} can't be deleted while it is in force")
    if kind == "organisation":
        for dep in after.deployments.values():
            if name in dep.organisations:
                _fail(
                    f"organisation {name} can't be deleted: it is used by "
                    f"deployment {dep.name}"
                )


_CHECKS = {
    configuration.Organisation: _check_organisation,
    configuration.Deployment: _check_deployment,
    configuration.Target: _check_target,
    configuration.Preset: _check_preset,
    configuration.PresetInForce: _check_in_force,
}
