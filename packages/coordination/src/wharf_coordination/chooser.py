"""Choice of the upstream that runs a call."""

from dataclasses import dataclass
from random import Random

from wharf_coordination.candidate import Candidate

__all__ = ["Chooser"]


@dataclass(slots=True)
class Chooser:
    """Choose the candidate with the least expected time among a small sample."""

    rng: Random
    data_centre: str
    sample_size: int = 4

    def choose(self, candidates, now) -> Candidate | None:
        """Return the best of a random sample, or None when there is none."""
        if not candidates:
            return None
        size = min(self.sample_size, len(candidates))
        sample = self.rng.sample(candidates, size)
        return min(sample, key=self._expected_time)

    def _expected_time(self, candidate):
        load = (candidate.in_flight + 1) / max(1, candidate.limit)
        is_remote = candidate.data_centre != self.data_centre
        return load * max(candidate.service_time, 0.001), is_remote
