"""Checks a change of the configuration before it is written.

Only what an operator can get wrong in one change is checked; whether the
change is made is decided by the version alone.
"""

import ipaddress
import re

from copperloom import configuration, exception

__all__ = ["MOST_ENTITIES", "check"]

MOST_ENTITIES = 500
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_OBJECTIVES = ("first_token", "slowdown")
_MOST_PORT = 65535


def check(
    cfg: configuration.Configuration,
    puts: tuple[tuple[str, dict], ...],
    deletes: tuple[str, ...],
) -> None:
    """Checks what a change would make of a configuration.

    Raises:
        copperloom.exception.MalformedRequestError: Names what is wrong.
    """
    if not 0 < len(puts) + len(deletes) <= MOST_ENTITIES:
        _fail(f"a change has 1 to {MOST_ENTITIES} entities")
    entities = [_entity(key, value) for key, value in puts]
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


def _entity(key: str, value: dict) -> configuration.Entity:
    entity = configuration.decode_entity(key, value)
    if configuration.entity_key(entity) != key:
        _fail(f"{key}: the name inside is {entity.name!r}")
    if not _NAME.fullmatch(entity.name):
        _fail(f"{key}: a name has 1 to 100 of A-Z a-z 0-9 . _ -")
    return entity


def _check_organisation(after, org: configuration.Organisation) -> None:
    if not _DIGEST.fullmatch(org.token_sha256):
        _fail(f"organisation {org.name}: token_sha256 is no hex SHA-256")
    if not 0 < org.weight <= 1e6:
        _fail(f"organisation {org.name}: weight is not in 0 to 1000000")
    if org.limit_tokens_per_s < 0:
        _fail(f"organisation {org.name}: limit_tokens_per_s is below 0")
    if after.organisation_by_token.get(org.token_sha256) != org:
        _fail(f"organisation {org.name}: another one has the same token")
    twins = [
        other.name
        for other in after.organisations.values()
        if other.token_sha256 == org.token_sha256 and other.name != org.name
    ]
    if twins:
        _fail(f"organisation {org.name}: {twins[0]} has the same token")


def _check_deployment(after, dep: configuration.Deployment) -> None:
    if dep.kind is configuration.TargetKind.ENGINE and not dep.model:
        _fail(f"deployment {dep.name}: an engine deployment names a model")
    if dep.time_limit_s <= 0:
        _fail(f"deployment {dep.name}: time_limit_s is not above 0")
    for name in dep.organisations:
        if name not in after.organisations:
            _fail(f"deployment {dep.name}: no organisation {name}")


def _check_target(after, tgt: configuration.Target) -> None:
    host, _, port = tgt.address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        _fail(f"target {tgt.name}: {tgt.address!r} is no IP:port")
    if not port.isdigit() or not 0 < int(port) <= _MOST_PORT:
        _fail(f"target {tgt.name}: {tgt.address!r} is no IP:port")
    if tgt.kind is configuration.TargetKind.ENGINE and tgt.kv_tokens <= 0:
        _fail(f"target {tgt.name}: kv_tokens is not above 0")


def _check_preset(after, preset: configuration.Preset) -> None:
    if preset.objective not in _OBJECTIVES:
        _fail(f"preset {preset.name}: objective is none of {_OBJECTIVES}")
    if preset.short_prompt_tokens <= 0 or preset.max_queue_wait_s <= 0:
        _fail(f"preset {preset.name}: a limit is not above 0")
    for name in ("short_floor", "long_share"):
        if not 0 <= getattr(preset, name) <= 1:
            _fail(f"preset {preset.name}: {name} is not in 0 to 1")


def _check_in_force(after, chosen: configuration.PresetInForce) -> None:
    if chosen.name != "current":
        _fail("the preset in force has the key in_force/current")
    if chosen.preset not in after.presets:
        _fail(f"no preset {chosen.preset}")
    if after.preset.name != chosen.preset:
        # A preset put in force before it is put would fall back in silence.
        _fail("a change puts a preset before it puts it in force")


def _check_delete(cfg, after, key: str) -> None:
    kind, _, name = key.partition("/")
    known = {
        "organisation": cfg.organisations,
        "deployment": cfg.deployments,
        "target": cfg.targets,
        "preset": cfg.presets,
    }
    if kind not in known:
        _fail(f"{key} can't be deleted")
    if name not in known[kind]:
        _fail(f"no {kind} {name}")
    if kind == "preset" and after.preset.name == name:
        _fail(f"preset {name} is in force")
    if kind == "organisation":
        for dep in after.deployments.values():
            if name in dep.organisations:
                _fail(f"organisation {name} is named by deployment {dep.name}")


_CHECKS = {
    configuration.Organisation: _check_organisation,
    configuration.Deployment: _check_deployment,
    configuration.Target: _check_target,
    configuration.Preset: _check_preset,
    configuration.PresetInForce: _check_in_force,
}
