"""Seeded simulations of the detection of crashing requests, with injected time.

A simulated fleet runs the requests of two entries. Some requests crash each upstream
that runs them and are then retried; upstreams also die for other reasons.
"""

import heapq
from dataclasses import dataclass, field
from itertools import count
from random import Random

import pytest

from wharf_coordination import CrashTracker, Suspects, Verdict

SERVICE_SECONDS = 0.1
CRASH_SECONDS = 0.02
SPREAD_SECONDS = 0.02
SETTLE_SECONDS = 0.1
RETRY_SECONDS = 0.02
DEADLINE_SECONDS = 7.0
LIFETIME_SECONDS = 600.0
RESEND_SECONDS = 0.5


@dataclass
class Upstream:
    """A simulated upstream with its crash tracker and the requests that it runs."""

    tracker: CrashTracker
    in_flight: dict[int, "Request"] = field(default_factory=dict)
    suspect: str | None = None
    deaths: int = 0


@dataclass
class Request:
    """A request from a caller to one entry."""

    fingerprint: str
    entry: int
    deadline: float
    is_crasher: bool = False
    resends: int = 0


@dataclass
class Fleet:
    """Run requests until no event is left.

    Without `isolated`, suspects may run on the same upstream; without `shared`, an
    entry does not get the facts of the other; the results must show either fault.
    """

    rng: Random
    upstreams: int
    isolated: bool = True
    shared: bool = True
    entries: int = 2
    now: float = 0.0
    condemned: set[str] = field(default_factory=set)
    suspected: set[str] = field(default_factory=set)
    killed: dict[str, int] = field(default_factory=dict)

    def __post_init__(self):
        self._events, self._order = [], count()
        self._suspects = [Suspects() for _ in range(self.entries)]
        self._upstreams = [
            Upstream(CrashTracker(str(number))) for number in range(self.upstreams)
        ]

    def at(self, time, action, *arguments):
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def run(self):
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def send(self, request):
        verdict = self._suspects[request.entry].verdict(request.fingerprint, self.now)
        if verdict is Verdict.CONDEMNED:
            self.condemned.add(request.fingerprint)
            self._resend(request)
            return
        upstream = self.rng.choice(self._upstreams)
        if verdict is Verdict.SUSPECT and self.isolated and upstream.suspect:
            if self.now < request.deadline:
                self.at(self.now + RETRY_SECONDS, self.send, request)
            return
        self._start(request, upstream, verdict)

    def kill(self, upstream, by=None):
        upstream.deaths += 1
        if by:
            self.killed[by] = self.killed.get(by, 0) + 1
        epoch, victims = upstream.tracker.epoch, list(upstream.in_flight.values())
        upstream.in_flight.clear()
        upstream.suspect = None
        for request in victims:
            self.suspected.add(request.fingerprint)
            raised = upstream.tracker.record_crash(epoch, request.fingerprint, "")
            self._spread(request.entry, raised.to_fact())
            self.at(self.now + SETTLE_SECONDS, self.send, request)

    def kill_any(self):
        self.kill(self.rng.choice(self._upstreams))

    def _start(self, request, upstream, verdict):
        attempt = next(self._order)
        upstream.in_flight[attempt] = request
        if verdict is Verdict.SUSPECT:
            upstream.suspect = request.fingerprint
        if request.is_crasher:
            self.at(self.now + CRASH_SECONDS, self._crash, upstream, attempt)
            return
        seconds = SERVICE_SECONDS * self.rng.uniform(0.5, 1.5)
        self.at(self.now + seconds, self._answer, upstream, attempt)

    def _crash(self, upstream, attempt):
        if attempt in upstream.in_flight:
            self.kill(upstream, upstream.in_flight[attempt].fingerprint)

    def _answer(self, upstream, attempt):
        request = upstream.in_flight.pop(attempt, None)
        if request is None:
            return
        if upstream.suspect == request.fingerprint:
            upstream.suspect = None
        held = self._suspects[request.entry].suspicions(request.fingerprint, self.now)
        for suspicion in held:
            self._spread(request.entry, suspicion.to_clearance())

    def _resend(self, request):
        if request.is_crasher and request.resends:
            entry = (request.entry + 1) % self.entries
            again = Request(request.fingerprint, entry, 1e9, True, request.resends - 1)
            self.at(self.now + RESEND_SECONDS, self.send, again)

    def _spread(self, origin, fact):
        self._suspects[origin].observe(fact, self.now, LIFETIME_SECONDS)
        for suspects in self._suspects if self.shared else ():
            delay = self.rng.uniform(0.5, 1.0) * SPREAD_SECONDS
            self.at(self.now + delay, self._observe, suspects, fact)

    def _observe(self, suspects, fact):
        suspects.observe(fact, self.now, LIFETIME_SECONDS)


def load(fleet, rng, seconds, neighbours, crashers_every, deaths_every=None):
    """Run a load of `neighbours` requests in flight per upstream, with faults."""
    rate = fleet.upstreams * neighbours / SERVICE_SECONDS
    arrivals = int(seconds * rate)
    for number in range(arrivals):
        begin = rng.uniform(0, seconds)
        entry = number % fleet.entries
        request = Request(f"i{number}", entry, begin + DEADLINE_SECONDS)
        fleet.at(begin, fleet.send, request)
    for number in range(int(seconds / crashers_every)):
        request = Request(f"c{number}", number % fleet.entries, 1e9, True, resends=4)
        fleet.at(number * crashers_every, fleet.send, request)
    for number in range(int(seconds / deaths_every) if deaths_every else 0):
        fleet.at(number * deaths_every + 0.5, fleet.kill_any)
    fleet.run()
    return arrivals


def falsely_condemned(fleet):
    return sum(fingerprint.startswith("i") for fingerprint in fleet.condemned)


@pytest.fixture
def rng():
    return Random(6)


def test_requests_in_flight_with_a_crasher_are_cleared(rng):
    fleet = Fleet(rng, upstreams=6)
    load(fleet, rng, seconds=40, neighbours=30, crashers_every=2.0)
    innocents = [name for name in fleet.suspected if name.startswith("i")]
    assert len(innocents) > 500
    assert falsely_condemned(fleet) * 1000 < len(innocents)
    assert set(fleet.killed.values()) == {2}


def test_deaths_for_other_reasons_condemn_few_requests(rng):
    fleet = Fleet(rng, upstreams=6)
    sent = load(fleet, rng, 40, 30, crashers_every=4.0, deaths_every=1.0)
    assert falsely_condemned(fleet) * 1000 < sent
    assert max(fleet.killed.values()) <= 2


def test_suspects_on_the_same_upstream_condemn_innocent_requests(rng):
    fleet = Fleet(rng, upstreams=6, isolated=False)
    load(fleet, rng, seconds=40, neighbours=30, crashers_every=2.0)
    assert falsely_condemned(fleet) * 1000 > len(fleet.suspected)


def test_crashers_go_on_if_suspicions_are_not_shared(rng):
    fleet = Fleet(rng, upstreams=6, shared=False)
    load(fleet, rng, seconds=10, neighbours=3, crashers_every=2.0)
    assert max(fleet.killed.values()) > 2
