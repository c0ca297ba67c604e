"""Estimate of an upstream's load between its reports."""

from dataclasses import dataclass

__all__ = ["UpstreamView"]

MIN_SILENCE_SECONDS = 5.0
MISSED_REPORTS = 4


@dataclass(slots=True)
class UpstreamView:
    """Estimate an upstream's calls from this entry's calls and the last report.

    `own_calls` counts this entry's calls there. `other_calls`, those of other
    entries, is the load in the last report minus the own calls at that time.
    """

    own_calls: int = 0
    limit: int = 0
    other_calls: int = 0
    reported_at: float = 0.0
    report_interval: float = 0.0

    def observe_report(self, in_flight, limit, now):
        """Update the estimate with a periodic load report."""
        if self.reported_at:
            self.report_interval = max(now - self.reported_at, self.report_interval / 2)
        self.reported_at = now
        self.observe_load(in_flight, limit)

    def observe_load(self, in_flight, limit):
        """Update the estimate with a load that was part of another frame."""
        self.limit = limit
        self.other_calls = max(0, in_flight - self.own_calls)

    def observe_full(self, in_flight):
        """Record a refusal, which shows that `in_flight` or more calls are running."""
        self.other_calls = max(self.other_calls, in_flight - self.own_calls)

    @property
    def in_flight(self):
        """Return the estimated calls in flight from all entries."""
        return self.own_calls + self.other_calls

    def is_silent(self, now):
        """Return whether reports are overdue, so that the host may be down."""
        timeout = max(MIN_SILENCE_SECONDS, MISSED_REPORTS * self.report_interval)
        return now - self.reported_at > timeout
