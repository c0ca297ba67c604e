"""Expected time of each stage, as an entry has seen it lately."""

from dataclasses import dataclass, field

__all__ = ["StageTimes"]

WEIGHT = 0.1
HALF_LIFE_SECONDS = 2.0
MAX_STAGES = 1024


@dataclass(frozen=True, slots=True)
class _Estimate:
    seconds: float
    floor: float
    seen_at: float


@dataclass(slots=True)
class StageTimes:
    """Estimate the seconds that a stage of a pipeline takes once it has started.

    What exceeds the fastest call seen lately halves every `half_life` seconds
    without news, so that refusals that rest on an estimate can't last for ever.
    """

    half_life: float = HALF_LIFE_SECONDS
    max_stages: int = MAX_STAGES
    _estimate_by_stage: dict[tuple[str, str], _Estimate] = field(default_factory=dict)

    def observe(self, pipeline, stage, seconds, now):
        """Take the time of one call into account."""
        key = pipeline, stage
        held = self._estimate_by_stage.get(key)
        if held is None:
            if len(self._estimate_by_stage) >= self.max_stages:
                del self._estimate_by_stage[next(iter(self._estimate_by_stage))]
            self._estimate_by_stage[key] = _Estimate(seconds, seconds, now)
            return
        expected = self.expected(pipeline, stage, now)
        floor = min(seconds, held.floor + WEIGHT * WEIGHT * (seconds - held.floor))
        moved = expected + WEIGHT * (seconds - expected)
        self._estimate_by_stage[key] = _Estimate(moved, floor, now)

    def expected(self, pipeline, stage, now):
        """Return the expected seconds, or 0 for a stage not seen yet."""
        held = self._estimate_by_stage.get((pipeline, stage))
        if held is None:
            return 0.0
        decay = 0.5 ** ((now - held.seen_at) / self.half_life)
        return held.floor + (held.seconds - held.floor) * decay
