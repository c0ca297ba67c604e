"""Runs a load pattern through a preparer, in virtual time."""

import asyncio
from random import Random

from result import Err

from wharf_gateway.fleet import Fleet
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.model.fleet_configuration import FleetConfiguration
from wharf_gateway.model.service import Service
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.stages.pool import pools_of
from wharf_gateway.stages.preparation import Preparation
from wharf_gateway.stages.preparer import Preparer
from wharf_standins.steps.emulated_caller import EmulatedCaller
from wharf_standins.steps.outcome import ClassOutcome, Outcome
from wharf_standins.virtual_time import VirtualTimeLoop

__all__ = ["run_trial"]

ENGINE_SECONDS = 0.3  # up to the first event, while results are kept
LATE_SHARE = 0.15  # of its worth that a late answer earns
TICK_SECONDS = 0.1


def run_trial(pattern, seed):
    """Return the outcome of a pattern with one seed."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(_Trial(pattern, Random(seed)).run())


class _Trial:
    def __init__(self, pattern, rng):
        self._pattern = pattern
        self._rng = rng
        self._outcome = Outcome()
        self._owed = 0.0
        self._earned = 0.0
        self._held_worth = 0.0

    async def run(self):
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self._build()
        ticker = asyncio.create_task(self._tick())
        requests = [
            asyncio.create_task(self._request(at, step_class, number))
            for number, (at, step_class) in enumerate(self._arrivals())
        ]
        changes = [
            asyncio.create_task(self._lose(*lost)) for lost in self._pattern.lost
        ]
        await asyncio.gather(*requests, *changes)
        ticker.cancel()
        outcome = self._outcome
        outcome.worth = self._earned / self._owed
        outcome.held_worth = self._held_worth / self._owed
        outcome.calls = dict(self._caller.calls)
        outcome.pieces = dict(self._caller.pieces)
        outcome.busy = dict(self._caller.busy)
        outcome.without_room = self._caller.without_room
        outcome.crossed_bytes = self._caller.crossed_bytes
        return outcome

    def _build(self):
        services = {
            name: Service(name, "/", 100, 0.0, 0.0, batching=batching)
            for name, batching in self._pattern.batching_by_service.items()
        }
        self._fleet = Fleet(_Dialect())
        self._fleet.configuration = FleetConfiguration(
            1, (), services, {}, CallerLimits(), False
        )
        upstreams = [
            Upstream(
                f"{service}-{centre}-{number}",
                service,
                f"{service}-{centre}-{number}",
                f"dc-{centre}",
                *("v1", 1, False, 0),
            )
            for service, counts in self._pattern.upstreams_by_service.items()
            for centre, count in enumerate(counts)
            for number in range(count)
        ]
        self._upstreams = upstreams
        for upstream in upstreams:
            self._fleet.add(upstream)
        centre_by_address = {u.address: u.data_centre for u in upstreams}
        service_by_address = {u.address: u.service for u in upstreams}
        self._caller = EmulatedCaller(
            self._pattern, centre_by_address, service_by_address, self._clock
        )
        self._caller.work_by_step = {
            (c.name, index): work
            for c in self._pattern.classes
            for index, work in enumerate(c.work)
        }
        pools = pools_of([(u.service, u.data_centre) for u in upstreams])
        self._preparers = [
            Preparer(self._fleet, self._caller, pool, self._clock) for pool in pools
        ]

    def _arrivals(self):
        arrivals = []
        for step_class in self._pattern.classes:
            now = 0.0
            while now < self._pattern.seconds:
                rate = (
                    step_class.rate * self._pattern.load * self._factor(step_class, now)
                )
                now += self._rng.expovariate(rate)
                arrivals.append((now, step_class))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _factor(self, step_class, now):
        factors = [
            burst.factor
            for burst in self._pattern.bursts
            if burst.name in ("", step_class.name)
            and burst.start <= now < burst.start + burst.seconds
        ]
        return max(factors, default=1.0)

    async def _request(self, at, step_class, number):
        pieces = step_class.draw_pieces(self._rng)
        near = self._rng.choice(self._upstreams).data_centre
        await asyncio.sleep(at)
        outcome = self._outcome.by_class.setdefault(step_class.name, ClassOutcome())
        outcome.asked += 1
        self._owed += step_class.worth
        preparation = Preparation(
            f"{step_class.name}-{number}",
            step_class.steps,
            pieces,
            step_class.name,
            step_class.priority,
            at + step_class.aim - ENGINE_SECONDS,
            at + step_class.deadline - ENGINE_SECONDS,
            near,
        )
        preparer = min(self._preparers, key=lambda p: p.backlog(self._clock()))
        answer = await preparer.run(preparation)
        if isinstance(answer, Err):
            outcome.refused += 1
            held = self._clock() - at
            outcome.held_seconds += held
            free = step_class.aim / 8
            most = 0.75 * step_class.deadline
            share = min(1.0, max(0.0, (held - free) / (most - free)))
            self._held_worth += share * step_class.worth
            return
        await asyncio.sleep(ENGINE_SECONDS)
        preparer.free(answer.unwrap())
        if self._clock() <= at + step_class.aim:
            outcome.on_time += 1
            self._earned += step_class.worth
        else:
            outcome.late += 1
            self._earned += step_class.worth * LATE_SHARE

    async def _lose(self, service, number, start, end):
        name = f"{service}-{number}-0"
        await asyncio.sleep(start)
        self._caller.away.add(name)
        await asyncio.sleep(end - start)
        self._caller.away.discard(name)

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for preparer in self._preparers:
                preparer.advance(self._clock())


class _Dialect:
    def result_address(self, handle):
        return handle.partition("/")[0]
