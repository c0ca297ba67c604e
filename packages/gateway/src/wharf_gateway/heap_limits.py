"""Makes the C library return the memory of large buffers to the system."""

import ctypes

__all__ = ["return_large_buffers"]

_M_MMAP_THRESHOLD = -3  # of glibc's malloc.h
# The library's initial value. It raises the threshold as large buffers are freed, up to
# 32 MB; buffers below it stay in the heap: with 300 callers that don't read answers of
# 900 KB, a process whose budget was kept grew to 272 MB, else to 106 MB.
THRESHOLD_BYTES = 128 << 10


def return_large_buffers():
    """Fix the size from which buffers are mapped, and unmapped when they are freed."""
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option:
        set_option(_M_MMAP_THRESHOLD, THRESHOLD_BYTES)
