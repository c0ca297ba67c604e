"""Detection of the end of an upstream's warm-up."""

from dataclasses import dataclass, field

from wharf_coordination.service_times import ServiceTimes

__all__ = ["WarmUp"]

WARM_RATIO = 1.3
PLATEAU_TOLERANCE = 0.1
PLATEAU_WINDOWS = 2
PLATEAU_WINDOWS_OFF_BASELINE = 4


@dataclass(slots=True)
class WarmUp:
    """Decide from the calls of a cold upstream when it is warm.

    At least `min_calls` calls must have succeeded, since a cold upstream may show
    normal call times until it crashes under load. After that, the upstream is warm
    when a window of `window` calls is back at the baseline time, or, if there is no
    baseline or it is no longer reached, when windows stop getting faster. Call times
    are normalised per kind to the first call of that kind in this warm-up, so that a
    changing mix of calls is not mistaken for a change of speed.
    """

    window: int
    min_calls: int
    baseline: ServiceTimes
    _calls: int = 0
    _first_times: ServiceTimes = field(default_factory=ServiceTimes)
    _baseline_ratios: list[float] = field(default_factory=list)
    _first_ratios: list[float] = field(default_factory=list)
    _last_mean: float | None = None
    _plateau_windows: int = 0
    _required_plateau_windows: int = PLATEAU_WINDOWS

    def observe(self, kind, seconds):
        """Record the time of a call; return whether the upstream is now warm."""
        self._calls += 1
        ratio = self._first_times.ratio(kind, seconds)
        if ratio is None:
            self._first_times.learn(kind, seconds)
            return False
        self._first_ratios.append(ratio)
        baseline_ratio = self.baseline.ratio(kind, seconds)
        if baseline_ratio is not None:
            self._baseline_ratios.append(baseline_ratio)
        if len(self._first_ratios) < self.window or self._calls < self.min_calls:
            return False
        return self._close_window()

    @property
    def has_plateaued(self):
        """Return whether call times have levelled off away from the baseline."""
        return self._plateau_windows >= self._required_plateau_windows

    def _close_window(self):
        has_baseline = bool(self._baseline_ratios)
        is_at_baseline = has_baseline and _mean(self._baseline_ratios) <= WARM_RATIO
        self._required_plateau_windows = (
            PLATEAU_WINDOWS_OFF_BASELINE if has_baseline else PLATEAU_WINDOWS
        )
        mean = _mean(self._first_ratios)
        self._first_ratios.clear()
        self._baseline_ratios.clear()
        self._update_plateau(mean)
        return is_at_baseline or self.has_plateaued

    def _update_plateau(self, mean):
        last, self._last_mean = self._last_mean, mean
        if last is None:
            return
        is_flat = mean >= last * (1 - PLATEAU_TOLERANCE)
        self._plateau_windows = self._plateau_windows + 1 if is_flat else 0


def _mean(values):
    return sum(values) / len(values)
