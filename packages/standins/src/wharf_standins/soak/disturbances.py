"""The times at which faults had effect."""

import asyncio
from contextlib import contextmanager

__all__ = ["Disturbances"]

# How long a fault may have effect after its end: gateways regain lost contact within
# 3 s.
RECOVERY_SECONDS = 3.5
# Upstreams may be silent for a second or so. Those of a run are in one process, so
# that all of them are silent while it doesn't get the processor.
MAX_PAUSE_SECONDS = 1.5
WATCH_INTERVAL_SECONDS = 0.05


class Disturbances:
    """Record when faults began and ended, by what they affect.

    `pauses` are the seconds of this process's own pauses.
    """

    def __init__(self, clock):
        self._clock = clock
        self._spans = []
        self.pauses = []

    @contextmanager
    def during(self, scope):
        """Record a fault of `scope` that lasts as long as the context."""
        span = [scope, self._clock(), float("inf")]
        self._spans.append(span)
        try:
            yield
        finally:
            span[2] = self._clock()

    async def watch_pauses(self, scope):
        """Record long pauses of this process as faults of `scope`, until cancelled."""
        while True:
            began = self._clock()
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)
            ended = self._clock()
            if ended - began > MAX_PAUSE_SECONDS:
                self.pauses.append(ended - began)
                self._spans.append([scope, began, ended])

    def is_calm(self, scopes, since, until):
        """Return whether no fault of `scopes` had effect between two times."""
        return not any(
            scope in scopes and began <= until and ended + RECOVERY_SECONDS >= since
            for scope, began, ended in self._spans
        )
