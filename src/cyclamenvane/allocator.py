"""Settings of the C library's allocator, so that freed memory returns to the system.

By default each thread allocates from an arena of its own, and large blocks are kept in
the arenas once some have been freed. After a burst, a process then stays as large as it
was. The interpreter's lock lets one thread allocate at a time, so one arena is enough.
"""

from __future__ import annotations

import ctypes

import eliot

__all__ = ["limit_arenas"]

# Parameters of mallopt(3).
_TRIM_THRESHOLD, _MMAP_THRESHOLD, _ARENA_MAX = -1, -3, -8
# Larger blocks are mapped, which frees and extends them without copies. Setting it
# also stops its growth with the blocks that are freed.
_MAPPED_BYTES = 128 * 1024
_TRIMMED_BYTES = 256 * 1024  # free at the end of the heap


def limit_arenas() -> None:
    """Use one arena, and map large blocks; call it before the first thread starts."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        # Not the GNU library: other allocators return memory by themselves.
        eliot.log_message("allocator:unchanged", error=repr(error))
        return
    for parameter, value in (
        (_ARENA_MAX, 1),
        (_MMAP_THRESHOLD, _MAPPED_BYTES),
        (_TRIM_THRESHOLD, _TRIMMED_BYTES),
    ):
        if not mallopt(parameter, value):
            eliot.log_message("allocator:unchanged", error=f"parameter {parameter}")
