"""Significance tests for differences between two versions.

Both tests are stratified: versions are compared only within each stratum, and
the differences are summed.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from itertools import product
from math import comb, sqrt
from statistics import NormalDist

__all__ = ["FailureCounts", "failure_p_value", "slowness_p_value"]

_NORMAL = NormalDist()


@dataclass(frozen=True, slots=True)
class FailureCounts:
    """Calls and failures of both versions in one stratum."""

    old_calls: int
    old_failures: int
    new_calls: int
    new_failures: int

    def distribution(self):
        """Return the probability of each number of new failures if versions are equal.

        The number is hypergeometric: all failures are spread at random over the calls.
        """
        failures = self.old_failures + self.new_failures
        successes = self.old_calls + self.new_calls - failures
        total = comb(failures + successes, self.new_calls)
        max_count = min(failures, self.new_calls)
        return [
            comb(failures, count) * comb(successes, self.new_calls - count) / total
            for count in range(max_count + 1)
        ]


def failure_p_value(strata):
    """Return the p-value of the new failures if both versions fail equally often.

    This is the exact one-sided test over all strata.

    >>> failure_p_value([FailureCounts(100, 0, 10, 0)])
    1.0
    >>> failure_p_value([FailureCounts(100, 0, 6, 6)]) < 1e-8
    True
    """
    observed = sum(counts.new_failures for counts in strata)
    total = [1.0]
    for counts in strata:
        total = _convolve(total, counts.distribution())
    return sum(total[observed:])


def slowness_p_value(strata):
    """Return the p-value of the new times if both versions are equally fast.

    A stratum is a pair of lists, the old and the new times in seconds. This is
    the one-sided stratified rank-sum test in its normal approximation.

    >>> slowness_p_value([([1.0] * 50, [1.0] * 50)])
    0.5
    >>> slowness_p_value([([1.0, 1.1] * 50, [2.0] * 20)]) < 1e-9
    True
    """
    excess = variance = 0.0
    for old_seconds, new_seconds in strata:
        pairs = len(old_seconds) * len(new_seconds)
        size = len(old_seconds) + len(new_seconds) + 1
        # Dividing by the size weights strata by their calls, not by their pairs.
        excess += (_wins(old_seconds, new_seconds) - pairs / 2) / size
        variance += pairs / (12 * size)
    if variance == 0:
        return 1.0
    return _NORMAL.cdf(-excess / sqrt(variance))


def _wins(old_seconds, new_seconds):
    ordered = sorted(old_seconds)
    return sum(
        (bisect_left(ordered, value) + bisect_right(ordered, value)) / 2
        for value in new_seconds
    )


def _convolve(first, second):
    total = [0.0] * (len(first) + len(second) - 1)
    for (i, left), (j, right) in product(enumerate(first), enumerate(second)):
        total[i + j] += left * right
    return total
