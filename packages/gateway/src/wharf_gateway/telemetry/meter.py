"""Counters, latency histograms and gauges of a gateway."""

from bisect import bisect_left
from collections import Counter, defaultdict

__all__ = ["BUCKET_BOUNDS_SECONDS", "Meter"]

# In the operators' scenarios the shortest latency target is 0.1 s and the longest
# timeout 15 s.
BUCKET_BOUNDS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)


class Meter:
    """Metrics by name and label values; the number of label sets is bounded."""

    def __init__(self):
        self.count_by_name = defaultdict(Counter)
        self.buckets_by_name = defaultdict(dict)
        self.gauge_by_name = {}

    def count(self, name, *labels):
        """Add one to a counter."""
        self.count_by_name[name][labels] += 1

    def observe(self, name, seconds, *labels):
        """Add a latency in seconds to a histogram."""
        counts = self.buckets_by_name[name].setdefault(
            labels, [[0] * (len(BUCKET_BOUNDS_SECONDS) + 1), 0.0]
        )
        counts[0][bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        counts[1] += seconds

    def gauge(self, name, read):
        """Register a gauge; `read()` returns its values by label values."""
        self.gauge_by_name[name] = read
