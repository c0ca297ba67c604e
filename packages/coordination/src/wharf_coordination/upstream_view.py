"""What an entry's last report of an upstream's load still tells."""

from dataclasses import dataclass

__all__ = ["UpstreamView"]

MIN_SILENCE_SECONDS = 5.0
MISSED_REPORTS = 4


@dataclass(slots=True)
class UpstreamView:
    """Estimate an upstream's calls from own ones and an aged report.

    `own_calls` counts this entry's calls there; what others run is what the last
    report showed beyond the own calls of that time.
    """

    own_calls: int = 0
    limit: int = 0
    other_calls: int = 0
    reported_at: float = 0.0
    report_gap: float = 0.0

    def observe_report(self, in_flight, limit, now):
        """Take a load report into account."""
        if self.reported_at:
            self.report_gap = max(now - self.reported_at, self.report_gap / 2)
        self.reported_at = now
        self.observe_load(in_flight, limit)

    def observe_load(self, in_flight, limit):
        """Take a load that came with some other frame into account."""
        self.limit = limit
        self.other_calls = max(0, in_flight - self.own_calls)

    def observe_full(self, in_flight):
        """Take a refusal into account, which shows at least `in_flight` calls."""
        self.other_calls = max(self.other_calls, in_flight - self.own_calls)

    @property
    def in_flight(self):
        """Return the estimated calls of all entries."""
        return self.own_calls + self.other_calls

    def is_silent(self, now):
        """Return whether reports stay away, so that the host may be gone."""
        patience = max(MIN_SILENCE_SECONDS, MISSED_REPORTS * self.report_gap)
        return now - self.reported_at > patience
