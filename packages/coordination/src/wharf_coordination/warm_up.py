"""Proof that an upstream is no longer cold."""

from dataclasses import dataclass, field

from wharf_coordination.service_times import ServiceTimes

__all__ = ["WarmUp"]

WARM_RATIO = 1.3
PLATEAU_TOLERANCE = 0.1
PLATEAU_WINDOWS = 2
PLATEAU_WINDOWS_OFF_USUAL = 4


@dataclass(slots=True)
class WarmUp:
    """Watch the calls of a cold upstream until they show that it is warm.

    At least `min_calls` calls must have succeeded, since an upstream may show no
    sign of being cold but to fall over. Beyond that, it is warm when a window of
    `window` calls takes its usual time again, or, where the usual time is unknown
    or gone for good, when windows no longer become faster. Windows compare only
    calls of kinds seen in this warm-up, so that a changing mix of calls doesn't
    pass for a change of speed.
    """

    window: int
    min_calls: int
    usual: ServiceTimes
    _calls: int = 0
    _first: ServiceTimes = field(default_factory=ServiceTimes)
    _usual_ratios: list[float] = field(default_factory=list)
    _first_ratios: list[float] = field(default_factory=list)
    _last_mean: float | None = None
    _flat_windows: int = 0
    _needed_windows: int = PLATEAU_WINDOWS

    def observe(self, kind, seconds):
        """Take a call into account; return whether the upstream is now warm."""
        self._calls += 1
        ratio = self._first.ratio(kind, seconds)
        if ratio is None:
            self._first.learn(kind, seconds)
            return False
        self._first_ratios.append(ratio)
        usual_ratio = self.usual.ratio(kind, seconds)
        if usual_ratio is not None:
            self._usual_ratios.append(usual_ratio)
        if len(self._first_ratios) < self.window or self._calls < self.min_calls:
            return False
        return self._close_window()

    @property
    def is_slow_for_good(self):
        """Return whether the upstream levelled off far from its usual time."""
        return self._flat_windows >= self._needed_windows

    def _close_window(self):
        has_usual = bool(self._usual_ratios)
        is_usual = has_usual and _mean(self._usual_ratios) <= WARM_RATIO
        self._needed_windows = (
            PLATEAU_WINDOWS_OFF_USUAL if has_usual else PLATEAU_WINDOWS
        )
        mean = _mean(self._first_ratios)
        self._first_ratios.clear()
        self._usual_ratios.clear()
        self._count_flat(mean)
        return is_usual or self.is_slow_for_good

    def _count_flat(self, mean):
        last, self._last_mean = self._last_mean, mean
        if last is None:
            return
        is_flat = mean >= last * (1 - PLATEAU_TOLERANCE)
        self._flat_windows = self._flat_windows + 1 if is_flat else 0


def _mean(values):
    return sum(values) / len(values)
