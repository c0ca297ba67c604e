"""Expected time of each stage, estimated from recent calls of one entry."""

from dataclasses import dataclass, field

__all__ = ["StageTimes"]

WEIGHT = 0.1
HALF_LIFE_SECONDS = 2.0
MAX_STAGES = 1024


@dataclass(frozen=True, slots=True)
class _Estimate:
    seconds: float
    floor: float
    updated_at: float


@dataclass(slots=True)
class StageTimes:
    """Estimate the seconds that a stage of a pipeline takes once it has started.

    The excess over the fastest recent call halves every `half_life` seconds without
    a new observation, so that calls aren't refused for ever because of an outdated
    estimate that no call can correct.
    """

    half_life: float = HALF_LIFE_SECONDS
    max_stages: int = MAX_STAGES
    _estimate_by_stage: dict[tuple[str, str], _Estimate] = field(default_factory=dict)

    def observe(self, pipeline, stage, seconds, now):
        """Update the estimate with the time of one call."""
        key = pipeline, stage
        last = self._estimate_by_stage.get(key)
        if last is None:
            if len(self._estimate_by_stage) >= self.max_stages:
                del self._estimate_by_stage[next(iter(self._estimate_by_stage))]
            self._estimate_by_stage[key] = _Estimate(seconds, seconds, now)
            return
        expected = self.expected(pipeline, stage, now)
        floor = min(seconds, last.floor + WEIGHT * WEIGHT * (seconds - last.floor))
        updated = expected + WEIGHT * (seconds - expected)
        self._estimate_by_stage[key] = _Estimate(updated, floor, now)

    def expected(self, pipeline, stage, now):
        """Return the expected seconds, or 0 for a stage without observations."""
        last = self._estimate_by_stage.get((pipeline, stage))
        if last is None:
            return 0.0
        decay = 0.5 ** ((now - last.updated_at) / self.half_life)
        return last.floor + (last.seconds - last.floor) * decay
