"""One line of key=value pairs for each event, through logbook."""

import sys

import logbook

__all__ = ["event", "setup"]

_LOG = logbook.Logger("copperloom")
_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} "
    "{record.message}"
)


def setup(level: str = "INFO", **common) -> None:
    """Sends log lines to standard error.

    Args:
        level: The least level to write.
        **common: Pairs that every line carries, such as instance=NAME.
    """
    tail = "".join(f" {key}={_quote(value)}" for key, value in common.items())
    handler = logbook.StreamHandler(
        sys.stderr, level=level, format_string=_FORMAT + tail
    )
    handler.push_application()


def event(name: str, *, level: str = "INFO", **pairs) -> None:
    """Writes one line: event=NAME and the pairs, in the order given."""
    text = f"event={name}" + "".join(
        f" {key}={_quote(value)}" for key, value in pairs.items()
    )
    _LOG.log(level, text)


def _quote(value) -> str:
    """Quotes a value that would break the line into wrong pairs."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not any(c in ' "=\n\r\t' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
