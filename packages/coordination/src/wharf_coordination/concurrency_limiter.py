"""Adaptive concurrency limit of one upstream, enforced by its sidecar."""

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

SLOWDOWN_WEIGHT = 0.3
GROW_SLOWDOWN = 1.25
SHRINK_SLOWDOWN = 1.5
SHRINK_FACTOR = 0.9
COLD_SLOWDOWN = 2.2
STALL_SLOWDOWN = 1.0
BUSY_SHARE = 0.8
SUSTAINED_FACTOR = 2
SUSTAINED_HALF_LIFE_SECONDS = 1.0
WARM_CALLS = 20
WARM_UP_ROUNDS = 2
FAILURES_TO_BACK_OFF = 2
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0


@dataclass(slots=True)
class ConcurrencyLimiter:
    """Limit the calls in flight to what the upstream has recently sustained.

    A cold upstream gets `cold_limit` until `warm_calls` calls have succeeded and
    call times are back at their baseline. Then the limit grows, doubling at first,
    until calls slow down. It drops to `cold_limit` when the engine has restarted,
    when calls fail, or when calls, including those still running, take far longer
    than the baseline. A limit that has not been used recently is raised again step
    by step. After repeated failures, single probe calls are admitted at increasing
    intervals until one succeeds.
    """

    cold_limit: int
    max_limit: int
    warm_calls: int = WARM_CALLS
    in_flight: int = 0
    incarnation: str = ""
    baseline: ServiceTimes = field(default_factory=ServiceTimes)
    _limit: float = 0.0
    _slowdown: float = 1.0
    _warm_up: WarmUp | None = None
    _is_doubling: bool = True
    _calls_until_shrink: int = 0
    _failures: int = 0
    _backoff_until: float = 0.0
    _sustained: float = 0.0
    _sustained_at: float = 0.0
    _permit_by_id: dict[int, Permit] = field(default_factory=dict)
    _ids: count = field(default_factory=count)

    def __post_init__(self):
        self.mark_cold()

    @property
    def limit(self):
        """Return the current limit in whole calls."""
        return int(self._limit)

    @property
    def is_cold(self):
        """Return whether the upstream is still warming up."""
        return self._warm_up is not None

    def open_slots(self, now):
        """Return the number of urgent calls that `acquire` would admit now."""
        return max(0, self._bound(Priority.URGENT, now) - self.in_flight)

    def acquire(self, kind, priority, now) -> Result[Permit, Refusal]:
        """Admit a call of `kind`, or refuse it as not run if the limit is reached."""
        bound = self._bound(priority, now)
        if self.in_flight >= bound:
            detail = (
                f"{self.in_flight} calls in flight, limit for this priority is {bound}"
            )
            return Err(Refusal.not_run(Code.UPSTREAM_FULL, detail))
        permit = Permit(next(self._ids), kind, now, self._warm_up)
        self._permit_by_id[permit.id] = permit
        self.in_flight += 1
        return Ok(permit)

    def release(self, permit: Permit, succeeded, now):
        """End a call; `succeeded` is None if the result says nothing about health."""
        was_busy = self.in_flight >= BUSY_SHARE * self.limit
        del self._permit_by_id[permit.id]
        self.in_flight -= 1
        match succeeded:
            case True:
                self._failures = 0
                self._sustained = max(self._sustained_calls(now), self.in_flight + 1)
                self._sustained_at = now
                self._observe_success(permit, now - permit.begin, was_busy)
            case False:
                self._observe_failure(now)

    def observe_incarnation(self, incarnation, now):
        """Treat the upstream as cold if its engine has restarted."""
        if incarnation == self.incarnation:
            return
        is_first = not self.incarnation
        self.incarnation = incarnation
        if not is_first:
            self.mark_cold()

    def configure(self, cold_limit, max_limit, warm_calls=WARM_CALLS):
        """Apply the configured limits."""
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
        self._warm_up = WarmUp(window, self.warm_calls, self.baseline)
        self._is_doubling = True
        self._slowdown = 1.0

    def _bound(self, priority, now):
        if now < self._backoff_until:
            return 0
        if self._failures >= FAILURES_TO_BACK_OFF:
            return 1
        # The upstream may have turned cold since it last ran many calls at once.
        sustainable = max(
            self.cold_limit, SUSTAINED_FACTOR * self._sustained_calls(now)
        )
        limit = min(self._limit, sustainable)
        if self._is_stalled(now):
            limit = min(limit, self.cold_limit)
        return limit_for_priority(priority, limit)

    def _sustained_calls(self, now):
        age = now - self._sustained_at
        return self._sustained * 0.5 ** (age / SUSTAINED_HALF_LIFE_SECONDS)

    def _is_stalled(self, now):
        # In a steady state, calls in flight are half done on average.
        ratios = [
            ratio
            for each in self._permit_by_id.values()
            if (ratio := self.baseline.ratio(each.kind, now - each.begin)) is not None
        ]
        return bool(ratios) and sum(ratios) / len(ratios) > STALL_SLOWDOWN

    def _observe_success(self, permit, seconds, was_busy):
        if self.is_cold:
            # Calls admitted before this warm-up began say nothing about it.
            if permit.warm_up is self._warm_up:
                self._observe_cold(permit.kind, seconds)
            return
        ratio = self.baseline.ratio(permit.kind, seconds)
        self.baseline.learn(permit.kind, seconds)
        if ratio is not None and permit.warm_up is None:
            self._slowdown += SLOWDOWN_WEIGHT * (ratio - self._slowdown)
            self._adjust(was_busy)

    def _observe_cold(self, kind, seconds):
        if not self._warm_up.observe(kind, seconds):
            return
        if self._warm_up.has_plateaued:
            self.baseline.clear()
        self.baseline.learn(kind, seconds)
        self._warm_up = None
        self._slowdown = 1.0

    def _adjust(self, was_busy):
        self._calls_until_shrink = max(0, self._calls_until_shrink - 1)
        if self._slowdown > COLD_SLOWDOWN:
            self.mark_cold()
        elif self._slowdown > SHRINK_SLOWDOWN and not self._calls_until_shrink:
            self._is_doubling = False
            self._calls_until_shrink = self.limit
            self._limit = max(float(self.cold_limit), self._limit * SHRINK_FACTOR)
        elif self._slowdown < GROW_SLOWDOWN and was_busy:
            gain = 1.0 if self._is_doubling else 1.0 / self._limit
            self._limit = min(float(self.max_limit), self._limit + gain)
        elif self._slowdown >= GROW_SLOWDOWN:
            self._is_doubling = False

    def _observe_failure(self, now):
        self._failures += 1
        if not self.is_cold:
            self.mark_cold()
        if self._failures >= FAILURES_TO_BACK_OFF:
            exponent = min(self._failures - FAILURES_TO_BACK_OFF, 10)
            delay = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**exponent)
            self._backoff_until = now + delay
