"""The C library's allocator.

It is told to return memory, as a process that has served a burst otherwise
keeps what it needed for it. Libraries other than glibc have no such functions.
"""

import ctypes

__all__ = ["return_large_blocks", "trim"]

_M_MMAP_THRESHOLD = -3
_THRESHOLD_BYTES = 131_072

_library = ctypes.CDLL(None)


def return_large_blocks() -> None:
    """Makes large blocks go back to the operating system once they are free.

    By default glibc raises the size from which they do to that of the blocks
    that are released, up to 32 MiB.
    """
    if hasattr(_library, "mallopt"):
        _library.mallopt(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES)


def trim() -> None:
    """Returns the free parts of the heap to the operating system."""
    if hasattr(_library, "malloc_trim"):
        _library.malloc_trim(0)
