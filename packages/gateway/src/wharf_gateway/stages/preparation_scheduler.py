"""Decides which preparations start, wait, or are refused."""

from collections import Counter
from dataclasses import dataclass, field

from wharf_gateway.stages.demand import Demand
from wharf_gateway.stages.piece_queue import PRIORITY_SECONDS
from wharf_gateway.stages.preparation import Preparation

__all__ = ["StartGate", "Ticket"]

# Seconds of work that wait at a service beside what runs: about one full call, so
# that the next call finds enough pieces and yet results don't wait for long.
AHEAD_SECONDS = 0.37
# About the last ten preparations tell how long one takes; one that met a fault
# tells little.
STRETCH_SHARE = 0.1
# How long a request with a tight aim may start among those that can be on time:
# about a call of the first service, for which it has to wait anyway.
FRESH_SECONDS = 0.3
# What is late already waits behind all that can be on time, also what comes later:
# its wait is this many times what the work before it takes.
LATE_DELAY_FACTOR = 3.0
MOST_STRETCH = 3.0


@dataclass(slots=True, eq=False)
class Ticket:
    """A preparation at the gate; `pieces_left` is what it still asks for.

    `arrived` is the loop's time at which it came.
    """

    preparation: Preparation
    demand: Demand
    arrived: float = 0.0
    pieces_left: dict[str, int] = field(init=False)

    def __post_init__(self):
        self.pieces_left = dict(self.demand.pieces_by_service)


@dataclass(slots=True)
class StartGate:
    """Preparations that wait and those that run, in one pool.

    A started request holds results until its last step has ended. So only as many
    start as the slowest service can finish without delay; the others wait here, in
    the order in which they can still be on time. `stretch` is the time that they
    took lately, relative to what was expected.
    """

    waiting: list[Ticket] = field(default_factory=list)
    running: list[Ticket] = field(default_factory=list)
    stretch: float = 1.0
    _work: Counter = field(default_factory=Counter)

    def add(self, ticket):
        """Let a preparation wait."""
        self.waiting.append(ticket)

    def note_end(self, ticket, seconds):
        """Learn from a preparation that took `seconds` from its start."""
        if ticket.demand.seconds > 0:
            ratio = min(seconds / ticket.demand.seconds, MOST_STRETCH)
            self.stretch += STRETCH_SHARE * (max(ratio, 1.0) - self.stretch)

    def note_done(self, ticket, service, count):
        """Count pieces of a preparation that are done."""
        ticket.pieces_left[service] -= count
        if ticket in self.running:
            self._work[service] -= count

    def remove(self, ticket):
        """Forget a preparation that ended or was given up."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)
        if ticket in self.running:
            self.running.remove(ticket)
            self._work.subtract(ticket.pieces_left)

    def start(self, rate_by_service, now):
        """Return the preparations that start now.

        `rate_by_service` is the pieces a second that each service finishes.
        """
        work = self._work.copy()
        started = []
        for ticket in self._ranked(now):
            if not _fits(ticket, work, rate_by_service):
                break
            _add(work, ticket)
            started.append(ticket)
        for ticket in started:
            self.waiting.remove(ticket)
            self.running.append(ticket)
            self._work.update(ticket.pieces_left)
        return started

    def hopeless(self, rate_by_service, now):
        """Return waiting preparations that can't be of use, and when to come back.

        Each is a pair of the ticket and the seconds until the work before it is
        done; they are forgotten.
        """
        work = self._work.copy()
        refused = []
        for ticket in self._ranked(now):
            delay = _delay(ticket, work, rate_by_service)
            if self._is_late(ticket, now):
                delay *= LATE_DELAY_FACTOR
            end = now + delay + ticket.demand.seconds * self.stretch
            if end > ticket.preparation.hard_deadline:
                refused.append((ticket, delay))
            else:
                _add(work, ticket)
        for ticket, _ in refused:
            self.waiting.remove(ticket)
        return refused

    def backlog(self, rate_by_service):
        """Return the seconds of work of the busiest service."""
        work = self._work.copy()
        for ticket in self.waiting:
            _add(work, ticket)
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
        return sorted(self.waiting, key=lambda ticket: self._rank(ticket, now))

    def _rank(self, ticket, now):
        preparation = ticket.preparation
        is_late = self._is_late(ticket, now)
        limit = preparation.hard_deadline if is_late else preparation.soft_deadline
        return (is_late, limit + preparation.priority * PRIORITY_SECONDS)

    def _is_late(self, ticket, now):
        """Return whether a preparation that starts now is likely late.

        At the pace of a busy hour one with a tight aim would be late from its
        arrival on, always behind the others, and so always late. It has a moment to
        start all the same, if it could be on time on idle upstreams.
        """
        soft_deadline, seconds = ticket.preparation.soft_deadline, ticket.demand.seconds
        latest_start = soft_deadline - seconds * self.stretch
        fresh_until = min(ticket.arrived + FRESH_SECONDS, soft_deadline - seconds)
        return now > max(latest_start, fresh_until)


def _fits(ticket, work, rate_by_service):
    return all(
        not work.get(service)
        or work[service] + count
        <= rate_by_service.get(service, 0.0)
        * (ticket.demand.seconds_by_service[service] + AHEAD_SECONDS)
        for service, count in ticket.demand.pieces_by_service.items()
    )


def _delay(ticket, work, rate_by_service):
    return max(
        (
            _drain_seconds(work.get(service, 0) + count, rate_by_service.get(service))
            - ticket.demand.seconds_by_service[service]
            for service, count in ticket.demand.pieces_by_service.items()
        ),
        default=0.0,
        key=lambda seconds: max(seconds, 0.0),
    )


def _drain_seconds(pieces, rate):
    return pieces / rate if rate else float("inf")


def _add(work, ticket):
    for service, count in ticket.demand.pieces_by_service.items():
        work[service] = work.get(service, 0) + count
