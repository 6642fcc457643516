"""The C library's allocator, as far as it decides what a process holds."""

import contextlib
import ctypes

LARGE_BLOCK_BYTES = 32 * 1024
"""Blocks from this size on are the system's again as soon as they are freed."""
M_MMAP_THRESHOLD = -3
"""Of the C library's ``mallopt``."""


def return_large_blocks() -> None:
    """Have freed blocks of bodies and answers returned to the system at once.

    Guards against a process that keeps the memory of a crowd that has gone: by itself
    glibc keeps larger and larger blocks, between which little can be used again. Other
    C libraries are left as they are.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
