"""The usual service time of each kind of call on one upstream."""

from dataclasses import dataclass, field

__all__ = ["ServiceTimes"]

MAX_KINDS = 256
DOWNWARD_WEIGHT = 0.3
UPWARD_WEIGHT = 0.01


@dataclass(slots=True)
class ServiceTimes:
    """Learn the time in seconds that a kind of call takes without crowding.

    The estimate follows faster calls quickly and slower ones reluctantly, so
    that a crowded upstream doesn't pass for a normal one. `max_kinds` bounds
    the memory; the kind learnt first is forgotten first.
    """

    max_kinds: int = MAX_KINDS
    _seconds_by_kind: dict[str, float] = field(default_factory=dict)

    def learn(self, kind, seconds):
        """Take the time of one call into account."""
        usual = self._seconds_by_kind.get(kind)
        if usual is None:
            self._seconds_by_kind[kind] = seconds
            if len(self._seconds_by_kind) > self.max_kinds:
                del self._seconds_by_kind[next(iter(self._seconds_by_kind))]
            return
        weight = DOWNWARD_WEIGHT if seconds < usual else UPWARD_WEIGHT
        self._seconds_by_kind[kind] = usual + weight * (seconds - usual)

    def ratio(self, kind, seconds):
        """Return `seconds` over the usual time, or None for an unknown kind.

        >>> times = ServiceTimes()
        >>> times.learn("ask", 0.2)
        >>> times.ratio("ask", 0.4), times.ratio("tell", 0.4)
        (2.0, None)
        """
        usual = self._seconds_by_kind.get(kind)
        return seconds / max(usual, 1e-6) if usual is not None else None

    def forget(self):
        """Forget all kinds, since the upstream is no longer the same."""
        self._seconds_by_kind.clear()
