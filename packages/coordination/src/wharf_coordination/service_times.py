"""Baseline service time of each kind of call on one upstream."""

from dataclasses import dataclass, field

__all__ = ["ServiceTimes"]

MAX_KINDS = 256
DOWNWARD_WEIGHT = 0.3
UPWARD_WEIGHT = 0.01


@dataclass(slots=True)
class ServiceTimes:
    """Estimate the seconds that each kind of call takes on an upstream at low load.

    The estimate follows faster calls quickly and slower ones slowly, so that an
    overloaded upstream doesn't become the baseline. At most `max_kinds` kinds are
    kept; the oldest is evicted first.
    """

    max_kinds: int = MAX_KINDS
    _seconds_by_kind: dict[str, float] = field(default_factory=dict)

    def learn(self, kind, seconds):
        """Update the baseline of `kind` with the time of one call."""
        baseline = self._seconds_by_kind.get(kind)
        if baseline is None:
            self._seconds_by_kind[kind] = seconds
            if len(self._seconds_by_kind) > self.max_kinds:
                del self._seconds_by_kind[next(iter(self._seconds_by_kind))]
            return
        weight = DOWNWARD_WEIGHT if seconds < baseline else UPWARD_WEIGHT
        self._seconds_by_kind[kind] = baseline + weight * (seconds - baseline)

    def ratio(self, kind, seconds):
        """Return `seconds` relative to the baseline, or None for an unknown kind.

        >>> times = ServiceTimes()
        >>> times.learn("ask", 0.2)
        >>> times.ratio("ask", 0.4), times.ratio("tell", 0.4)
        (2.0, None)
        """
        baseline = self._seconds_by_kind.get(kind)
        return seconds / max(baseline, 1e-6) if baseline is not None else None

    def clear(self):
        """Drop all baselines, as they no longer apply to the upstream."""
        self._seconds_by_kind.clear()
