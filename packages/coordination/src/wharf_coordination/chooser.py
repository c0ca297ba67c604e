"""Load balancing: choice of the upstream that runs a call."""

from dataclasses import dataclass, field
from random import Random

from wharf_coordination.candidate import Candidate
from wharf_coordination.outlier_detector import OutlierDetector
from wharf_coordination.rendezvous import ranked

__all__ = ["Chooser"]

REMOTE_PENALTY = 0.05
AFFINE_UPSTREAMS = 2
AFFINITY_DISCOUNT = 0.6
AFFINITY_MAX_LOAD = 1.25


@dataclass(slots=True)
class Chooser:
    """Choose the candidate with the least expected time from a random sample.

    A call with a `prefix` prefers the upstreams that have probably cached that
    prefix, unless their load exceeds the mean of the pool by a set factor.
    """

    rng: Random
    data_centre: str
    sample_size: int = 4
    outliers: OutlierDetector = field(default_factory=OutlierDetector)

    def choose(self, candidates, now, prefix="") -> Candidate | None:
        """Return the best candidate of a random sample, or None if all are full."""
        open_candidates = [each for each in candidates if each.has_capacity]
        kept = self.outliers.without_outliers(open_candidates, now)
        if not kept:
            return None
        affine = self._affine(candidates, prefix)
        sample = self.rng.sample(kept, min(self.sample_size, len(kept)))
        sample += [each for each in kept if each.upstream in affine]
        return min(sample, key=lambda each: self._expected_time(each, affine, now))

    def _expected_time(self, candidate, affine, now):
        load = (candidate.in_flight + 1) / candidate.limit
        expected = (0.5 + load) * self.outliers.slowness(candidate.upstream, now)
        if candidate.upstream in affine:
            expected *= AFFINITY_DISCOUNT
        if candidate.data_centre != self.data_centre:
            expected += REMOTE_PENALTY
        return expected

    def _affine(self, candidates, prefix):
        if not prefix:
            return set()
        by_name = {each.upstream: each for each in candidates}
        mean = sum(map(_load, candidates)) / len(candidates)
        preferred = ranked(prefix, by_name)[:AFFINE_UPSTREAMS]
        return {
            name
            for name in preferred
            if _load(by_name[name]) <= max(AFFINITY_MAX_LOAD * mean, 0.5)
        }


def _load(candidate):
    return (candidate.in_flight + 1) / max(1, candidate.limit)
