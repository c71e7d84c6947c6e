"""Settings of the C library's memory allocator."""

import contextlib
import ctypes

_M_MMAP_THRESHOLD = -3
"""The parameter's number in `malloc.h` of glibc."""
_OWN_MAPPING_BYTES = 64 << 10


def return_freed_memory() -> None:
    """Has large buffers returned to the system as soon as they are freed.

    By default glibc keeps freed buffers for later ones, and small objects
    between them keep their pages resident. Other C libraries have no such
    parameter.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _OWN_MAPPING_BYTES)
