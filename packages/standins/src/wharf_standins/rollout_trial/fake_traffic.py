"""Simulated calls to the upstreams of two versions."""

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from wharf_coordination.rollout import Route, Sample
from wharf_standins.rollout_trial.environment import Environment
from wharf_standins.rollout_trial.version_kind import (
    FAILURE_RATE,
    SLOWDOWN,
    BadUnderLoad,
    SlowAtOnce,
    is_bad_call,
)

__all__ = ["FakeTraffic"]

ROUTE_WEIGHTS = (40, 30, 20, 10)
BASE_SECONDS = 0.05
SECONDS_PER_IN_FLIGHT = 0.005
BASE_FAILURE_RATE = 0.01


@dataclass
class FakeTraffic:
    """Simulate calls, each on the least busy upstream of its version.

    `kind` is the fault of the new version, `upstreams` the number of upstreams of each
    version and `duration` the deadline of the rollout in seconds.
    """

    rng: Random
    kind: object
    old_version: str
    new_version: str
    upstreams: int
    duration: float
    environment: Environment = field(default_factory=Environment)
    _pauses: list = field(default_factory=list)
    _calls_by_upstream: Counter = field(default_factory=Counter)
    _in_flight_by_upstream: dict[tuple[str, int], int] = field(default_factory=dict)
    _ends: list = field(default_factory=list)
    _count: int = 0

    def __post_init__(self):
        self._pauses = self.environment.pauses(self.rng, 2 * self.duration)
        for version in (self.old_version, self.new_version):
            for number in range(self.upstreams):
                self._in_flight_by_upstream[version, number] = 0

    def begin(self, entry, version, now):
        """Begin a call; return whether the new version's fault affects it."""
        route_number = self._draw_route()
        upstream = self._least_busy(version)
        in_flight = self._in_flight_by_upstream[upstream]
        is_new = version == self.new_version
        fraction = now / self.duration
        is_bad = is_new and is_bad_call(self.kind, route_number, in_flight, fraction)
        failed, seconds = self._outcome(is_bad, in_flight)
        calls = self._calls_by_upstream[upstream]
        is_cold = is_new and calls < self.environment.cold_calls
        if is_cold:
            seconds *= self.environment.cold_factor
        self._calls_by_upstream[upstream] += 1
        seconds = self._paused(now, seconds)
        sample = Sample(
            route=Route("report", f"stage-{route_number}"),
            version=version,
            in_flight=in_flight,
            failed=failed,
            elapsed=seconds,
            ended_at=now + seconds,
            is_cold=is_cold,
        )
        self._in_flight_by_upstream[upstream] += 1
        self._count += 1
        heappush(self._ends, (sample.ended_at, self._count, upstream, entry, sample))
        return is_bad

    def pop_ended(self, now):
        """Remove each call that has ended; yield its entry and sample."""
        while self._ends and self._ends[0][0] <= now:
            _, _, upstream, entry, sample = heappop(self._ends)
            self._in_flight_by_upstream[upstream] -= 1
            yield entry, sample

    def _paused(self, begin, seconds):
        """Return the seconds of a call that begins at `begin`, with all pauses."""
        end = begin + seconds
        for pause_begin, pause_end in self._pauses:
            if pause_begin >= end:
                break
            end += max(0.0, pause_end - max(pause_begin, begin))
        return end - begin

    def _draw_route(self):
        return self.rng.choices(range(len(ROUTE_WEIGHTS)), ROUTE_WEIGHTS)[0]

    def _least_busy(self, version):
        own = [key for key in self._in_flight_by_upstream if key[0] == version]
        return min(own, key=self._in_flight_by_upstream.__getitem__)

    def _outcome(self, is_bad, in_flight):
        seconds = BASE_SECONDS + SECONDS_PER_IN_FLIGHT * in_flight
        seconds *= self.rng.lognormvariate(0, self.environment.sigma)
        failed = self.rng.random() < BASE_FAILURE_RATE
        if not is_bad:
            return failed, seconds
        match self.kind:
            case SlowAtOnce() | BadUnderLoad():
                return failed, seconds * SLOWDOWN
            case _:
                return failed or self.rng.random() < FAILURE_RATE, seconds
