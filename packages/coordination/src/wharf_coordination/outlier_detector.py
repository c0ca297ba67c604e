"""Upstreams that serve worse than their pool."""

from dataclasses import dataclass, field

from wharf_coordination.upstream_record import UpstreamRecord

__all__ = ["OutlierDetector"]

MAX_SET_ASIDE_SHARE = 0.34
FAILURE_SHARE = 0.3
SLOWNESS = 3.0


@dataclass(slots=True)
class OutlierDetector:
    """Remember how upstreams served, and set the worst aside for a time.

    Never more than `max_share` of a pool is set aside: when most of it fails,
    the cause lies elsewhere.
    """

    max_share: float = MAX_SET_ASIDE_SHARE
    _record_by_upstream: dict[str, UpstreamRecord] = field(default_factory=dict)

    def observe(self, upstream, slowness, failed, now):
        """Take one attempt into account."""
        record = self._record_by_upstream.setdefault(
            upstream, UpstreamRecord(seen_at=now)
        )
        record.observe(slowness, failed, now)

    def slowness(self, upstream, now):
        """Return how slow an upstream is relative to its pool."""
        record = self._record_by_upstream.get(upstream)
        return record.slowness_at(now) if record else 1.0

    def without_outliers(self, candidates, now):
        """Return the candidates without the outliers."""
        badness = {each.upstream: self._badness(each, now) for each in candidates}
        room = int(self.max_share * len(candidates))
        worst = sorted(badness, key=badness.get, reverse=True)[:room]
        aside = {name for name in worst if badness[name] >= 1.0}
        return [each for each in candidates if each.upstream not in aside]

    def retain(self, upstreams):
        """Drop the records of upstreams that are no longer configured."""
        self._record_by_upstream = {
            name: record
            for name, record in self._record_by_upstream.items()
            if name in upstreams
        }

    def _badness(self, candidate, now):
        record = self._record_by_upstream.get(candidate.upstream)
        if record is None:
            return 0.0
        failing = record.failure_share_at(now) / FAILURE_SHARE
        return max(failing, record.slowness_at(now) / SLOWNESS)
