"""Decides which preparations of a pool start, wait or are refused."""

from collections import Counter
from dataclasses import dataclass, field

from wharf_gateway.stages.demand import Demand
from wharf_gateway.stages.piece_queue import PRIORITY_SECONDS
from wharf_gateway.stages.preparation import Preparation

__all__ = ["PreparationScheduler", "ScheduleEntry"]

# Work that may queue at a service in addition to what runs: about one full call, so
# that the next call finds enough pieces while results don't wait for long.
QUEUED_WORK_SECONDS = 0.37
# Weight of a preparation in the moving average of `stretch`: about the last ten count,
# so that a single one that met a fault changes little.
STRETCH_WEIGHT = 0.1
# How long after its arrival a request with a short target latency still ranks among
# those that can be on time: about one call of its first service, for which it has to
# wait in any case.
ARRIVAL_GRACE_SECONDS = 0.3
# A late preparation also waits behind later arrivals that can be on time. Its delay is
# estimated as this multiple of the time for the work before it.
LATE_DELAY_FACTOR = 3.0
MAX_STRETCH = 3.0


@dataclass(slots=True, eq=False)
class ScheduleEntry:
    """A preparation that waits or runs.

    `arrived` is the loop's time of its arrival, `pieces_left` the number of pieces
    of each service that aren't done.
    """

    preparation: Preparation
    demand: Demand
    arrived: float = 0.0
    pieces_left: dict[str, int] = field(init=False)

    def __post_init__(self):
        self.pieces_left = dict(self.demand.pieces_by_service)


@dataclass(slots=True)
class PreparationScheduler:
    """The waiting and the running preparations of one pool.

    A running preparation holds results until its last step has ended. Only as many
    therefore run as the slowest service can finish without delay; the others wait,
    ordered by deadline. `stretch` is the recent ratio of actual to expected duration,
    at least 1.
    """

    waiting: list[ScheduleEntry] = field(default_factory=list)
    running: list[ScheduleEntry] = field(default_factory=list)
    stretch: float = 1.0
    _running_pieces: Counter = field(default_factory=Counter)

    def add(self, entry):
        """Add a waiting preparation."""
        self.waiting.append(entry)

    def record_duration(self, entry, seconds):
        """Update `stretch` by a preparation that took `seconds` from its start."""
        if entry.demand.seconds > 0:
            ratio = min(seconds / entry.demand.seconds, MAX_STRETCH)
            self.stretch += STRETCH_WEIGHT * (max(ratio, 1.0) - self.stretch)

    def record_done(self, entry, service, count):
        """Subtract pieces that are done from the remaining work."""
        entry.pieces_left[service] -= count
        if entry in self.running:
            self._running_pieces[service] -= count

    def remove(self, entry):
        """Remove a preparation that has ended or was abandoned."""
        if entry in self.waiting:
            self.waiting.remove(entry)
        if entry in self.running:
            self.running.remove(entry)
            self._running_pieces.subtract(entry.pieces_left)

    def remove_waiting(self):
        """Remove all waiting preparations and return them."""
        removed, self.waiting = self.waiting, []
        return removed

    def start(self, rate_by_service, now):
        """Move the preparations that can start to `running` and return them.

        `rate_by_service` is the pieces a second that each service finishes.
        """
        work = self._running_pieces.copy()
        started = []
        for entry in self._ranked(now):
            if not _fits(entry, work, rate_by_service):
                break
            _add(work, entry)
            started.append(entry)
        for entry in started:
            self.waiting.remove(entry)
            self.running.append(entry)
            self._running_pieces.update(entry.pieces_left)
        return started

    def remove_infeasible(self, rate_by_service, now, wait_by_service=None):
        """Remove the waiting preparations that can't meet their hard deadline.

        `wait_by_service` has the seconds until a service takes any pieces again.
        Return pairs of the entry and the seconds until the work before it is done.
        """
        work = self._running_pieces.copy()
        refused = []
        for entry in self._ranked(now):
            delay = _delay(entry, work, rate_by_service)
            if wait_by_service:
                services = entry.demand.pieces_by_service
                waits = [wait_by_service.get(service, 0.0) for service in services]
                delay = max((delay, *waits))
            if self._is_late(entry, now):
                delay *= LATE_DELAY_FACTOR
            end = now + delay + entry.demand.seconds * self.stretch
            if end > entry.preparation.hard_deadline:
                refused.append((entry, delay))
            else:
                _add(work, entry)
        for entry, _ in refused:
            self.waiting.remove(entry)
        return refused

    def backlog(self, rate_by_service):
        """Return the seconds that the busiest service needs for all its work.

        This is infinite if a service with work has a rate of zero.
        """
        work = self._running_pieces.copy()
        for entry in self.waiting:
            _add(work, entry)
        return max(
            (
                work[service] / rate_by_service.get(service, 0.0)
                if rate_by_service.get(service, 0.0)
                else float("inf")
                for service in work
                if work[service]
            ),
            default=0.0,
        )

    def _ranked(self, now):
        return sorted(self.waiting, key=lambda entry: self._rank(entry, now))

    def _rank(self, entry, now):
        preparation = entry.preparation
        is_late = self._is_late(entry, now)
        limit = preparation.hard_deadline if is_late else preparation.soft_deadline
        return (is_late, limit + preparation.priority * PRIORITY_SECONDS)

    def _is_late(self, entry, now):
        """Return whether a preparation that starts now is likely to be late.

        When `stretch` is high, one with a short target latency would count as late on
        arrival, rank behind all others, and so always be late. It therefore has a
        short grace period, if it could be on time on idle upstreams.
        """
        soft_deadline, seconds = entry.preparation.soft_deadline, entry.demand.seconds
        latest_start = soft_deadline - seconds * self.stretch
        grace_end = min(entry.arrived + ARRIVAL_GRACE_SECONDS, soft_deadline - seconds)
        return now > max(latest_start, grace_end)


def _fits(entry, work, rate_by_service):
    return all(
        not work.get(service)
        or work[service] + count
        <= rate_by_service.get(service, 0.0)
        * (entry.demand.seconds_by_service[service] + QUEUED_WORK_SECONDS)
        for service, count in entry.demand.pieces_by_service.items()
    )


def _delay(entry, work, rate_by_service):
    return max(
        (
            _drain_seconds(work.get(service, 0) + count, rate_by_service.get(service))
            - entry.demand.seconds_by_service[service]
            for service, count in entry.demand.pieces_by_service.items()
        ),
        default=0.0,
        key=lambda seconds: max(seconds, 0.0),
    )


def _drain_seconds(pieces, rate):
    return pieces / rate if rate else float("inf")


def _add(work, entry):
    for service, count in entry.demand.pieces_by_service.items():
        work[service] = work.get(service, 0) + count
