"""INI settings, validated at start into frozen data classes.

The settings of a program are a frozen data class whose fields are sections. A
section is a frozen data class whose fields are created by `setting`, with
default, unit, range and description. Unknown sections and keys are errors, so
that a misspelt key never silently falls back to a default.
"""

import configparser
import dataclasses
import ipaddress
import math
import pathlib
import sys
from typing import TypeVar

from copperloom import exception

__all__ = [
    "ADDRESS",
    "EXIT_BAD_SETTINGS",
    "explain",
    "load",
    "load_or_exit",
    "setting",
]

EXIT_BAD_SETTINGS = 2
# Unit of addresses. Host names are rejected, since they are not resolved.
ADDRESS = "IP:port"

_MOST_PORT = 65_535

_Program = TypeVar("_Program")
_TRUE = frozenset(["true", "yes", "on", "1"])
_FALSE = frozenset(["false", "no", "off", "0"])


def setting(
    default,
    doc: str,
    *,
    unit: str = "",
    low: float | None = None,
    high: float | None = None,
    choices: tuple[str, ...] = (),
    required: bool = False,
):
    """Declares one key of a section.

    Args:
        default: Value if the file does not set the key; also gives the type.
        doc: Description of one line.
        unit: Unit of a number.
        low: Least number allowed.
        high: Greatest number allowed.
        choices: Allowed values, if restricted.
        required: Whether the file must set the key.
    """
    return dataclasses.field(
        default=default,
        metadata={
            "doc": doc,
            "unit": unit,
            "low": low,
            "high": high,
            "choices": choices,
            "required": required,
        },
    )


def load(path: str | None, program: type[_Program]) -> _Program:
    """Reads the settings of a program from a file.

    Args:
        path: The INI file; None for the defaults.
        program: A frozen data class of section data classes.

    Returns:
        The validated settings.

    Raises:
        copperloom.exception.SettingsError: The file is invalid; the message
            names file, section, key and cause.
    """
    parser = _read(path)
    sections = {f.name: f.type for f in dataclasses.fields(program)}
    for name in parser.sections():
        if name not in sections:
            raise _error(path, name, "", "unknown section")
    return program(
        **{
            name: _section(path, parser, name, cls)
            for name, cls in sections.items()
        }
    )


def load_or_exit(path: str | None, program: type[_Program]) -> _Program:
    """Reads settings; prints the error and exits with 2 on failure."""
    try:
        return load(path, program)
    except exception.SettingsError as error:
        print(f"error {error.code}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def explain(program: type) -> str:
    """Returns a commented settings file with a program's defaults."""
    lines = []
    for section in dataclasses.fields(program):
        lines.append(f"[{section.name}]")
        for field in dataclasses.fields(section.type):
            lines.extend(_explain_field(field))
        lines.append("")
    return "\n".join(lines)


def _explain_field(field: dataclasses.Field) -> list[str]:
    meta = field.metadata
    facts = []
    if meta["unit"]:
        facts.append(f"unit: {meta['unit']}")
    if meta["low"] is not None or meta["high"] is not None:
        facts.append(f"range: {meta['low']} to {meta['high']}")
    if meta["choices"]:
        facts.append("one of: " + ", ".join(meta["choices"]))
    if meta["required"]:
        facts.append("required")
    tail = f" ({'; '.join(facts)})" if facts else ""
    return [f"# {meta['doc']}{tail}", f"{field.name} = {_show(field.default)}"]


def _show(value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, tuple):
        return ", ".join(value)
    return str(value)


def _read(path: str | None) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    if path is None:
        return parser
    try:
        parser.read_string(pathlib.Path(path).read_text(), source=path)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise _error(path, "", "", str(error).replace("\n", " ")) from error
    return parser


def _section(path, parser, name, cls):
    given = dict(parser[name]) if parser.has_section(name) else {}
    fields = {f.name: f for f in dataclasses.fields(cls)}
    for key in given:
        if key not in fields:
            raise _error(path, name, key, "unknown key")
    values = {}
    for key, field in fields.items():
        if key in given:
            values[key] = _value(path, name, field, given[key])
        elif field.metadata["required"]:
            raise _error(path, name, key, "must be set")
    return cls(**values)


def _value(path, section, field, text):
    try:
        value = _convert(field.type, text)
    except ValueError as error:
        raise _error(path, section, field.name, str(error)) from error
    meta = field.metadata
    if meta["low"] is not None and value < meta["low"]:
        raise _error(path, section, field.name, f"below {meta['low']}")
    if meta["high"] is not None and value > meta["high"]:
        raise _error(path, section, field.name, f"above {meta['high']}")
    if meta["unit"] == ADDRESS and not _is_address(value):
        raise _error(path, section, field.name, f"{value!r} is no {ADDRESS}")
    words = value if isinstance(value, tuple) else (value,)
    if meta["choices"] and not set(words) <= set(meta["choices"]):
        allowed = ", ".join(meta["choices"])
        raise _error(path, section, field.name, f"is not one of {allowed}")
    return value


def _is_address(text: str | tuple[str, ...]) -> bool:
    """Returns whether a text is empty or IP:port; accepts any list."""
    if not text or isinstance(text, tuple):
        return True
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= _MOST_PORT


def _convert(kind, text: str):
    if kind is bool:
        word = text.strip().lower()
        if word in _TRUE | _FALSE:
            return word in _TRUE
        raise ValueError(f"{text!r} is neither true nor false")
    if kind is int:
        return int(text)
    if kind is float:
        value = float(text)
        if not math.isfinite(value):
            raise ValueError(f"{text!r} is not a finite number")
        return value
    if kind == tuple[str, ...]:
        return tuple(p.strip() for p in text.split(",") if p.strip())
    return text.strip()


def _error(path, section, key, problem) -> exception.SettingsError:
    where = f"{path}"
    if section:
        where += f" [{section}]"
    if key:
        where += f" {key}"
    return exception.SettingsError(f"{where}: {problem}")
