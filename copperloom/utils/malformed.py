"""Errors of decoding what another process has written."""

import msgspec

__all__ = ["ERRORS"]

# RecursionError: msgspec raises it for values that are nested too deeply, also
# in fields that are not decoded.
ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
