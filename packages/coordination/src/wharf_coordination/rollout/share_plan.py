"""Shares of traffic that a new version gets in the steps of a rollout."""

from dataclasses import dataclass
from math import inf

__all__ = ["SharePlan"]

PULSED_STEP = 1
PULSE_SHARE = 0.9
PULSE_FRACTION = 0.033
PULSES_PER_ROLLOUT = 8
MIN_PULSE_PERIOD_SECONDS = 1.0
DEADLINE_MARGIN_FRACTION = 0.08
# A version must get some calls to be judged by, also where there are few in all.
MIN_CALLS_PER_SECOND = 0.5
MAX_SHARE_FOR_MIN_CALLS = 0.1


@dataclass(frozen=True, slots=True)
class SharePlan:
    """Shares and minimum times of the steps of a rollout of `duration` seconds.

    The new version's mean share stays below 5% for the first half of the time, so
    that a version that only fails after a while affects little traffic. In step
    PULSED_STEP, short pulses send it most of the traffic, to test it under the load
    that it will have after the rollout. The last step leaves some traffic on the old
    version for the comparison. At low rates of calls, in calls a second, the shares are
    larger, so that the new version gets half a call a second or a tenth of them.
    """

    duration: float
    shares: tuple[float, ...] = (0.01, 0.012, 0.25, 0.5, 0.95)
    begin_fractions: tuple[float, ...] = (0.0, 0.05, 0.5, 0.58, 0.66)
    finish_fraction: float = 0.76

    @property
    def last_step(self):
        """Return the number of the last step."""
        return len(self.shares) - 1

    @property
    def deadline_margin(self):
        """Return the seconds before the deadline in which a rollout can't finish.

        They allow for a slow write and for differences between clocks.
        """
        return self.duration * DEADLINE_MARGIN_FRACTION

    @property
    def pulse_period(self):
        """Return the seconds from one pulse to the next."""
        return max(MIN_PULSE_PERIOD_SECONDS, self.duration / PULSES_PER_ROLLOUT)

    def share(self, step, elapsed, rate=inf):
        """Return the new version's share `elapsed` seconds after the start."""
        if step == PULSED_STEP and self._is_pulse(elapsed):
            return PULSE_SHARE
        return self._steady_share(step, rate)

    def _steady_share(self, step, rate):
        share = self.shares[min(step, self.last_step)]
        if rate <= 0:
            return share
        return max(share, min(MIN_CALLS_PER_SECOND / rate, MAX_SHARE_FOR_MIN_CALLS))

    def exposure_seconds(self, step, rate=inf):
        """Return the minimum time of `step`, weighted by the new version's mean share.

        >>> round(SharePlan(duration=100.0).exposure_seconds(2), 1)
        2.0
        """
        ends = (*self.begin_fractions[1:], self.finish_fraction)
        number = min(step, self.last_step)
        share = self._steady_share(number, rate)
        if step == PULSED_STEP:
            share += (PULSE_SHARE - share) * PULSE_FRACTION
        return (ends[number] - self.begin_fractions[number]) * self.duration * share

    def may_leave(self, step, elapsed):
        """Return whether the minimum time of `step` is over.

        >>> plan = SharePlan(duration=100.0)
        >>> plan.may_leave(0, 4.0), plan.may_leave(0, 5.0)
        (False, True)
        """
        if step >= self.last_step:
            return elapsed >= self.finish_fraction * self.duration
        return elapsed >= self.begin_fractions[step + 1] * self.duration

    def _is_pulse(self, elapsed):
        phase = elapsed % self.pulse_period / self.pulse_period
        return phase >= 1 - PULSE_FRACTION
