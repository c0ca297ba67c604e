"""The pace of an upstream's host, learnt from reports or from latencies."""

from collections import deque
from dataclasses import dataclass, field
from math import exp
from statistics import median_low

__all__ = ["PaceEstimate"]

# Reports are a constant of the host times noise: 2.5 for 15% of the time, 1 otherwise.
# The low median of this many reports is the constant.
MAX_REPORTS = 15
# The noise changes about every 0.6 s, so that an older report says little of it.
NOISE_SECONDS = 0.4
MAX_RATIOS = 24
MIN_RATIOS = 6  # fewer latencies say nothing
# Waiting only adds to a latency, so that a low quantile shows the pace best.
RATIO_QUANTILE = 0.4
LOW, HIGH = 0.25, 4.0  # bounds of a learnt pace


@dataclass(slots=True)
class PaceEstimate:
    """How long work takes on a host, relative to the usual time.

    `reported_at` is the time of the last report.

    >>> pace = PaceEstimate()
    >>> for at, value in enumerate([1.7, 4.25, 1.7]):
    ...     pace.record(value, at)
    >>> pace.usual, round(pace.at(2.0), 2)
    (1.7, 1.7)
    """

    reported_at: float = float("-inf")
    _last: float = 1.0
    _reports: deque = field(default_factory=lambda: deque(maxlen=MAX_REPORTS))
    _ratios: deque = field(default_factory=lambda: deque(maxlen=MAX_RATIOS))
    _usual: float | None = None
    _ratio: float | None = None

    def record(self, pace, at):
        """Record the pace that the upstream reported at a time, in any order."""
        if pace <= 0:
            return
        self._reports.append(pace)
        self._usual = median_low(self._reports)
        if at >= self.reported_at:
            self._last, self.reported_at = pace, at

    def record_ratio(self, ratio):
        """Record a latency relative to the one that was expected at the usual pace."""
        self._ratios.append(ratio)
        if len(self._ratios) >= MIN_RATIOS:
            ordered = sorted(self._ratios)
            self._ratio = ordered[int(RATIO_QUANTILE * (len(ordered) - 1))]

    @property
    def ratio(self):
        """Return the low quantile of the recorded ratios, None if there are few."""
        return self._ratio

    @property
    def is_reported(self):
        """Return whether the upstream has reported its pace."""
        return self._usual is not None

    @property
    def usual(self):
        """Return the host's usual pace by its reports, 1 if there are none."""
        return 1.0 if self._usual is None else _bounded(self._usual)

    def at(self, now, scale=1.0):
        """Return the expected pace now, relative to `EngineCost`.

        `scale` is the usual ratio of the service at the usual pace. Without reports
        the pace is the upstream's own ratio.
        """
        if self._usual is not None:
            weight = exp(-max(0.0, now - self.reported_at) / NOISE_SECONDS)
            return scale * _bounded(self._usual + (self._last - self._usual) * weight)
        return scale if self._ratio is None else self.settled(scale)

    def settled(self, scale=1.0):
        """Return the pace without noise."""
        if self._usual is not None or self._ratio is None:
            return scale * self.usual
        return scale * _bounded(self._ratio / scale)


def _bounded(pace):
    return min(max(pace, LOW), HIGH)
