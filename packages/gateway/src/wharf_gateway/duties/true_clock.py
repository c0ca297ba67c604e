"""The time of day by the clocks of several hosts."""

from collections import deque
from statistics import median

__all__ = ["TrueClock"]

MAX_AGE_SECONDS = 60.0  # of what a peer has told; it tells its time each second
# A clock that jumps is believed after half of these samples. A fleet of two, in which
# the hosts alone can't outvote one, bridges jumps of less than half a minute so.
SAMPLES = 60
SAMPLE_SECONDS = 1.0


class TrueClock:
    """Estimate the time of day as the median of what the hosts' clocks say.

    The clock of one host may jump by seconds. The event loop's clock doesn't, so that a
    host's time of day is kept as its distance from that clock, of which the median of
    the last minute is taken.

    >>> clock = TrueClock()
    >>> for name, unix in (("a", 1000.0), ("b", 1000.2), ("c", 1007.0)):
    ...     clock.record(name, unix, now=10.0)
    >>> clock.refresh(now=10.0)
    >>> clock.unix(now=12.0)
    1002.2
    """

    def __init__(self):
        self._samples_by_name = {}
        self._distance_by_name = {}
        self._told_at_by_name = {}
        self._distance = 0.0

    def record(self, name, unix_seconds, now):
        """Record what the clock of a host said at `now`."""
        told_at = self._told_at_by_name.get(name, float("-inf"))
        if now - told_at < SAMPLE_SECONDS:
            return
        samples = self._samples_by_name.setdefault(name, deque(maxlen=SAMPLES))
        samples.append(unix_seconds - now)
        self._told_at_by_name[name] = now
        self._distance_by_name[name] = median(samples)

    def refresh(self, now):
        """Take into account what was recorded; forget hosts that tell nothing."""
        for name, told_at in list(self._told_at_by_name.items()):
            if now - told_at > MAX_AGE_SECONDS:
                for by_name in (
                    self._told_at_by_name,
                    self._samples_by_name,
                    self._distance_by_name,
                ):
                    del by_name[name]
        if self._distance_by_name:
            self._distance = median(self._distance_by_name.values())

    def unix(self, now):
        """Return the Unix time at `now`, in seconds, as of the last refresh."""
        return now + self._distance
