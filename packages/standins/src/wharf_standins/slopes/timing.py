"""Measurement of the processor time of short functions."""

import time

__all__ = ["cpu_microseconds"]

MIN_SECONDS = 0.05
ROUNDS = 3


def cpu_microseconds(function) -> float:
    """Return the processor microseconds of one call, the least of several rounds."""
    function()
    return min(_round(function) for _ in range(ROUNDS)) * 1e6


def _round(function):
    calls, begin = 0, time.process_time()
    while (spent := time.process_time() - begin) < MIN_SECONDS:
        function()
        calls += 1
    return spent / calls
