"""Significance tests for differences between two versions.

Both tests are stratified: versions are compared only within each stratum, and
the differences are summed.
"""

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from itertools import product
from math import comb, sqrt
from statistics import NormalDist

__all__ = [
    "FailureCounts",
    "Times",
    "failure_p_value",
    "slowness_p_value",
    "speed_p_value",
]

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


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds of one version's calls in one stratum.

    A call that ended without an answer after some time would have taken at least that
    long: it is in `bounds` (right-censored).
    """

    seconds: list[float] = field(default_factory=list)
    bounds: list[float] = field(default_factory=list)

    def __len__(self):
        return len(self.seconds) + len(self.bounds)


def slowness_p_value(strata):
    """Return the p-value of the new times if both versions are equally fast.

    A stratum is a pair of `Times`, the old and the new version's. This is the one-sided
    stratified rank-sum test in its normal approximation; a pair of calls of which it
    isn't known which took longer counts half (Gehan's test).

    >>> slowness_p_value([(Times([1.0] * 50), Times([1.0] * 50))])
    0.5
    >>> slowness_p_value([(Times([1.0, 1.1] * 50), Times([2.0] * 20))]) < 1e-9
    True
    >>> slowness_p_value([(Times([1.0, 1.1] * 50), Times([], [2.0] * 20))]) < 1e-9
    True
    """
    return _NORMAL.cdf(-_deviation(strata))


def speed_p_value(strata):
    """Return the p-value of the new times being shorter if both are equally fast.

    >>> speed_p_value([])
    0.5
    >>> speed_p_value([(Times([1.0] * 50), Times([0.5] * 20))]) < 1e-9
    True
    """
    return _NORMAL.cdf(_deviation(strata))


def _deviation(strata):
    """Return by how many standard deviations the new times are longer."""
    excess = variance = 0.0
    for old, new in strata:
        if not old.seconds and not new.seconds:
            continue
        pairs = len(old) * len(new)
        size = len(old) + len(new) + 1
        # Dividing by the size weights strata by their calls, not by their pairs.
        excess += (_wins(old, new) - pairs / 2) / size
        variance += pairs / (12 * size)
    return excess / sqrt(variance) if variance else 0.0


def _wins(old, new):
    """Return the number of pairs in which the new version's call took longer."""
    seconds, bounds = sorted(old.seconds), sorted(old.bounds)
    answered = sum(
        bisect_left(seconds, value)
        + bisect_right(seconds, value)
        + bisect_left(bounds, value)
        for value in new.seconds
    )
    unanswered = sum(
        len(seconds) + bisect_right(seconds, value) + len(bounds)
        for value in new.bounds
    )
    return (answered + unanswered) / 2


def _convolve(first, second):
    total = [0.0] * (len(first) + len(second) - 1)
    for (i, left), (j, right) in product(enumerate(first), enumerate(second)):
        total[i + j] += left * right
    return total
