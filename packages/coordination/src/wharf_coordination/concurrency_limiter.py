"""Concurrency limit of one upstream, owned by the sidecar beside it."""

from dataclasses import dataclass, field
from itertools import count

from result import Err, Ok, Result

from wharf_coordination.code import Code
from wharf_coordination.headroom import limit_for_priority
from wharf_coordination.permit import Permit
from wharf_coordination.priority import Priority
from wharf_coordination.refusal import Refusal
from wharf_coordination.service_times import ServiceTimes
from wharf_coordination.warm_up import WarmUp

__all__ = ["ConcurrencyLimiter"]

RATIO_WEIGHT = 0.3
GROW_RATIO = 1.25
SHRINK_RATIO = 1.5
SHRINK_FACTOR = 0.9
COLD_RATIO = 2.2
STALL_RATIO = 1.0
BUSY_SHARE = 0.8
PROVEN_FACTOR = 2
PROVEN_HALF_LIFE_SECONDS = 1.0
WARM_CALLS = 20
WARM_UP_ROUNDS = 2
FAILURES_TO_PAUSE = 2
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0


@dataclass(slots=True)
class ConcurrencyLimiter:
    """Admit as many calls at a time as the upstream has shown that it can bear.

    A cold upstream gets `cold_limit` until `warm_calls` calls have succeeded and
    take their usual time. Then the limit grows, doubling at first, until calls
    slow down. It falls back to `cold_limit` when the engine is a new one, when
    calls fail, or when they take far longer than usual, running ones included. A
    limit that was not lately in use is proven again by steps. After repeated
    failures single calls are admitted, further and further apart, until one
    succeeds.
    """

    cold_limit: int
    max_limit: int
    warm_calls: int = WARM_CALLS
    in_flight: int = 0
    incarnation: str = ""
    usual: ServiceTimes = field(default_factory=ServiceTimes)
    _limit: float = 0.0
    _ratio: float = 1.0
    _warm_up: WarmUp | None = None
    _is_doubling: bool = True
    _until_shrink: int = 0
    _failures: int = 0
    _paused_until: float = 0.0
    _proven: float = 0.0
    _proven_at: float = 0.0
    _permit_by_id: dict[int, Permit] = field(default_factory=dict)
    _ids: count = field(default_factory=count)

    def __post_init__(self):
        self.mark_cold()

    @property
    def limit(self):
        """Return the present limit in whole calls."""
        return int(self._limit)

    @property
    def is_cold(self):
        """Return whether the upstream has yet to show that it is warm."""
        return self._warm_up is not None

    def open_slots(self, now):
        """Return the number of urgent calls that `enter` would admit now."""
        return max(0, self._bound(Priority.URGENT, now) - self.in_flight)

    def acquire(self, kind, priority, now) -> Result[Permit, Refusal]:
        """Admit a call of `kind` or refuse it as not run."""
        bound = self._bound(priority, now)
        if self.in_flight >= bound:
            detail = f"{self.in_flight} calls run under a limit of {bound}"
            return Err(Refusal.not_run(Code.UPSTREAM_FULL, detail))
        admitted = Permit(next(self._ids), kind, now, self._warm_up)
        self._permit_by_id[admitted.id] = admitted
        self.in_flight += 1
        return Ok(admitted)

    def release(self, admitted: Permit, succeeded, now):
        """Count a call as ended; `succeeded` is None when it proves nothing."""
        was_busy = self.in_flight >= BUSY_SHARE * self.limit
        del self._permit_by_id[admitted.id]
        self.in_flight -= 1
        match succeeded:
            case True:
                self._failures = 0
                self._proven = max(self._proven_calls(now), self.in_flight + 1)
                self._proven_at = now
                self._observe(admitted, now - admitted.begin, was_busy)
            case False:
                self._observe_failure(now)

    def observe_incarnation(self, incarnation, now):
        """Fall back to the cold limit when the engine was started anew."""
        if incarnation == self.incarnation:
            return
        is_first = not self.incarnation
        self.incarnation = incarnation
        if not is_first:
            self.mark_cold()

    def configure(self, cold_limit, max_limit, warm_calls=WARM_CALLS):
        """Put the operators' limits in force."""
        self.cold_limit, self.max_limit = cold_limit, max_limit
        self.warm_calls = warm_calls
        self._limit = min(self._limit, max_limit)
        if self.is_cold:
            self._limit = float(cold_limit)
            self._warm_up.min_calls = warm_calls

    def mark_cold(self):
        """Treat the upstream as cold from now on."""
        self._limit = float(self.cold_limit)
        window = WARM_UP_ROUNDS * self.cold_limit
        self._warm_up = WarmUp(window, self.warm_calls, self.usual)
        self._is_doubling = True
        self._ratio = 1.0

    def _bound(self, priority, now):
        if now < self._paused_until:
            return 0
        if self._failures >= FAILURES_TO_PAUSE:
            return 1
        # An upstream may have turned cold since it last bore more than a few.
        unproven = max(self.cold_limit, PROVEN_FACTOR * self._proven_calls(now))
        limit = min(self._limit, unproven)
        if self._is_stalled(now):
            limit = min(limit, self.cold_limit)
        return limit_for_priority(priority, limit)

    def _proven_calls(self, now):
        age = now - self._proven_at
        return self._proven * 0.5 ** (age / PROVEN_HALF_LIFE_SECONDS)

    def _is_stalled(self, now):
        # Running calls of a steady upstream are half done on average.
        ratios = [
            ratio
            for each in self._permit_by_id.values()
            if (ratio := self.usual.ratio(each.kind, now - each.begin)) is not None
        ]
        return bool(ratios) and sum(ratios) / len(ratios) > STALL_RATIO

    def _observe(self, admitted, seconds, was_busy):
        if self.is_cold:
            # Calls from before the fall-back say nothing about the cold state.
            if admitted.warm_up is self._warm_up:
                self._observe_cold(admitted.kind, seconds)
            return
        ratio = self.usual.ratio(admitted.kind, seconds)
        self.usual.learn(admitted.kind, seconds)
        if ratio is not None and admitted.warm_up is None:
            self._ratio += RATIO_WEIGHT * (ratio - self._ratio)
            self._adjust(was_busy)

    def _observe_cold(self, kind, seconds):
        if not self._warm_up.observe(kind, seconds):
            return
        if self._warm_up.is_slow_for_good:
            self.usual.forget()
        self.usual.learn(kind, seconds)
        self._warm_up = None
        self._ratio = 1.0

    def _adjust(self, was_busy):
        self._until_shrink = max(0, self._until_shrink - 1)
        if self._ratio > COLD_RATIO:
            self.mark_cold()
        elif self._ratio > SHRINK_RATIO and not self._until_shrink:
            self._is_doubling = False
            self._until_shrink = self.limit
            self._limit = max(float(self.cold_limit), self._limit * SHRINK_FACTOR)
        elif self._ratio < GROW_RATIO and was_busy:
            gain = 1.0 if self._is_doubling else 1.0 / self._limit
            self._limit = min(float(self.max_limit), self._limit + gain)
        elif self._ratio >= GROW_RATIO:
            self._is_doubling = False

    def _observe_failure(self, now):
        self._failures += 1
        if not self.is_cold:
            self.mark_cold()
        if self._failures >= FAILURES_TO_PAUSE:
            exponent = min(self._failures - FAILURES_TO_PAUSE, 10)
            pause = min(MAX_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2**exponent)
            self._paused_until = now + pause
