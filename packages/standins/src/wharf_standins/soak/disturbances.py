"""The times at which faults had effect."""

from contextlib import contextmanager

__all__ = ["Disturbances"]

# How long a fault may have effect after its end: gateways regain lost contact within
# 3 s.
RECOVERY_SECONDS = 3.5


class Disturbances:
    """Record when faults began and ended, by what they affect."""

    def __init__(self, clock):
        self._clock = clock
        self._spans = []

    @contextmanager
    def during(self, scope):
        """Record a fault of `scope` that lasts as long as the context."""
        span = [scope, self._clock(), float("inf")]
        self._spans.append(span)
        try:
            yield
        finally:
            span[2] = self._clock()

    def is_calm(self, scopes, since, until):
        """Return whether no fault of `scopes` had effect between two times."""
        return not any(
            scope in scopes and began <= until and ended + RECOVERY_SECONDS >= since
            for scope, began, ended in self._spans
        )
