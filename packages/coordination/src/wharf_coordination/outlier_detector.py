"""Outlier detection: exclusion of upstreams that perform worse than their pool."""

from dataclasses import dataclass, field

from wharf_coordination.upstream_record import UpstreamRecord

__all__ = ["OutlierDetector"]

MAX_EXCLUDED_SHARE = 0.34
OUTLIER_FAILURE_RATE = 0.3
OUTLIER_SLOWNESS = 3.0


@dataclass(slots=True)
class OutlierDetector:
    """Track the performance of upstreams and exclude the worst for a time.

    At most `max_share` of a pool is excluded: if most of it fails, the cause lies
    elsewhere.
    """

    max_share: float = MAX_EXCLUDED_SHARE
    _record_by_upstream: dict[str, UpstreamRecord] = field(default_factory=dict)

    def observe(self, upstream, slowness, failed, now):
        """Record the outcome of one attempt; `slowness` is None if unknown."""
        record = self._record_by_upstream.setdefault(
            upstream, UpstreamRecord(updated_at=now)
        )
        record.observe(slowness, failed, now)

    def slowness(self, upstream, now):
        """Return the call time of an upstream relative to its pool."""
        record = self._record_by_upstream.get(upstream)
        return record.slowness_at(now) if record else 1.0

    def without_outliers(self, candidates, now):
        """Return the candidates without the outliers."""
        severity = {each.upstream: self._severity(each, now) for each in candidates}
        max_excluded = int(self.max_share * len(candidates))
        worst = sorted(severity, key=severity.get, reverse=True)[:max_excluded]
        excluded = {name for name in worst if severity[name] >= 1.0}
        return [each for each in candidates if each.upstream not in excluded]

    def retain(self, upstreams):
        """Drop the records of all upstreams except `upstreams`."""
        self._record_by_upstream = {
            name: record
            for name, record in self._record_by_upstream.items()
            if name in upstreams
        }

    def _severity(self, candidate, now):
        record = self._record_by_upstream.get(candidate.upstream)
        if record is None:
            return 0.0
        failing = record.failure_rate_at(now) / OUTLIER_FAILURE_RATE
        return max(failing, record.slowness_at(now) / OUTLIER_SLOWNESS)
