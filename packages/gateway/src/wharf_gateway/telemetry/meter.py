"""Counts and latencies of a gateway."""

from bisect import bisect_left
from collections import Counter, defaultdict

__all__ = ["BUCKETS", "Meter"]

# Seconds; the shortest aim on the operators' sheets is 0.1 s, the longest time 15 s.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)


class Meter:
    """Counters and histograms by name and label values; label sets are bounded."""

    def __init__(self):
        self.count_by_name = defaultdict(Counter)
        self.buckets_by_name = defaultdict(dict)
        self.gauge_by_name = {}

    def count(self, name, *labels):
        """Add one to a counter."""
        self.count_by_name[name][labels] += 1

    def observe(self, name, seconds, *labels):
        """Add a latency to a histogram."""
        counts = self.buckets_by_name[name].setdefault(
            labels, [[0] * (len(BUCKETS) + 1), 0.0]
        )
        counts[0][bisect_left(BUCKETS, seconds)] += 1
        counts[1] += seconds

    def gauge(self, name, read):
        """Show what `read()` returns, by label values, at each scrape."""
        self.gauge_by_name[name] = read
