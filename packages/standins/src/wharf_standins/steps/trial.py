"""Run a load pattern through preparers, in virtual time."""

import asyncio
from dataclasses import dataclass
from functools import partial
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
from wharf_standins.steps.emulated_piece_client import EmulatedPieceClient
from wharf_standins.steps.gateway_emulation import (
    START_SECONDS,
    EmulatedGateway,
    EmulatedSettings,
)
from wharf_standins.steps.outcome import ClassOutcome, Outcome
from wharf_standins.virtual_time import VirtualTimeLoop

__all__ = ["run_trial"]

ENGINE_SECONDS = 0.3  # until the engine's first event; results are kept until then
TICK_SECONDS = 0.1
STOP_SECONDS = 4.0  # from the signal to a gateway that its process ends


def run_trial(pattern, seed, policy="by_deadline"):
    """Return the outcome of a pattern with one seed and a preparation policy."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(_Trial(pattern, Random(seed), policy).run())


class _Trial:
    def __init__(self, pattern, rng, policy):
        self._policy = policy
        self._pattern = pattern
        self._rng = rng
        self._outcome = Outcome()
        self._offered_worth = 0.0
        self._earned_worth = 0.0
        self._late_refusal_worth = 0.0

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
            asyncio.create_task(self._make_unavailable(*outage))
            for outage in self._pattern.outages
        ]
        changes += [
            asyncio.create_task(self._restart(*restart))
            for restart in self._pattern.restarts
        ]
        await asyncio.gather(*requests, *changes)
        ticker.cancel()
        outcome = self._outcome
        outcome.worth = self._earned_worth / self._offered_worth
        outcome.late_refusal_worth = self._late_refusal_worth / self._offered_worth
        outcome.calls = dict(self._client.calls)
        outcome.pieces = dict(self._client.pieces)
        outcome.busy = dict(self._client.busy)
        outcome.out_of_space = self._client.out_of_space
        outcome.full = self._client.full
        outcome.unused = self._client.unused
        outcome.cross_centre_bytes = self._client.cross_centre_bytes
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
        self._client = EmulatedPieceClient(
            self._pattern, centre_by_address, service_by_address, self._clock
        )
        self._client.work_by_step = {
            (c.name, index): work
            for c in self._pattern.classes
            for index, work in enumerate(c.work)
        }
        pools = pools_of([(u.service, u.data_centre) for u in upstreams])
        self._gateway_by_name = {}
        self._fleet.gateway_count = max(1, len(self._pattern.gateways))
        for name, data_centre, capacity in self._pattern.gateways:
            settings = EmulatedSettings(name, data_centre, capacity, self._policy)
            self._gateway_by_name[name] = EmulatedGateway(
                settings, self._fleet, self._client, self._clock, self._gateway_by_name
            )
        settings = EmulatedSettings("preparer", "dc-0", 1.0, self._policy)
        self._preparers = [
            Preparer(self._fleet, self._client, pool, self._clock, settings)
            for pool in pools
        ]

    def _arrivals(self):
        arrivals = []
        for step_class in self._pattern.classes:
            now = 0.0
            while now < self._pattern.seconds:
                rate = (
                    step_class.rate
                    * self._pattern.load
                    * self._rate_factor(step_class, now)
                )
                now += self._rng.expovariate(rate)
                arrivals.append((now, step_class))
        return sorted(arrivals, key=lambda arrival: arrival[0])

    def _rate_factor(self, step_class, now):
        factors = [
            burst.factor
            for burst in self._pattern.bursts
            if burst.name in ("", step_class.name)
            and burst.start <= now < burst.start + burst.seconds
        ]
        return max(factors, default=1.0)

    async def _request(self, arrival, step_class, number):
        pieces = step_class.draw_pieces(self._rng)
        preferred_data_centre = self._rng.choice(self._upstreams).data_centre
        await asyncio.sleep(arrival)
        outcome = self._outcome.by_class.setdefault(step_class.name, ClassOutcome())
        outcome.requests += 1
        self._offered_worth += step_class.worth
        preparation = Preparation(
            f"{step_class.name}-{number}",
            step_class.steps,
            pieces,
            step_class.name,
            step_class.priority,
            arrival + step_class.soft_deadline - ENGINE_SECONDS,
            arrival + step_class.deadline - ENGINE_SECONDS,
            preferred_data_centre,
        )
        began = self._clock()
        result, free = await self._prepare(preparation)
        if isinstance(result, Err):
            outcome.refused += 1
            self._outcome.failures[result.unwrap_err().reason] += 1
            waited = self._clock() - arrival
            outcome.refusal_seconds += waited
            lower = step_class.soft_deadline / 8
            upper = 0.75 * step_class.deadline
            share = min(1.0, max(0.0, (waited - lower) / (upper - lower)))
            self._late_refusal_worth += share * step_class.worth
            return
        outcome.seconds.append(self._clock() - began)
        await asyncio.sleep(ENGINE_SECONDS)
        free(result.unwrap())
        if self._clock() <= arrival + step_class.soft_deadline:
            outcome.on_time += 1
            self._earned_worth += step_class.worth
        elif self._clock() > arrival + step_class.deadline:
            outcome.failed += 1
        else:
            outcome.late += 1
            self._earned_worth += step_class.worth * step_class.late_share

    async def _prepare(self, preparation):
        """Return the answer, and a function that drops the results."""
        running = [g for g in self._gateway_by_name.values() if g.is_ready]
        if not running:
            preparer = min(self._preparers, key=lambda p: p.backlog(self._clock()))
            return await preparer.run(preparation), preparer.free
        gateway, context = self._rng.choice(running), _Context()
        answer = await gateway.prepare(preparation, context)
        return answer, partial(gateway.router.free, context)

    async def _restart(self, name, start, is_killed):
        """Kill a gateway, or stop it within its grace, and start it again."""
        gateway = self._gateway_by_name[name]
        await asyncio.sleep(start)
        if not is_killed:
            gateway.stop()
            await asyncio.sleep(STOP_SECONDS)
        gateway.kill()
        await asyncio.sleep(START_SECONDS)
        gateway.start()

    async def _make_unavailable(self, service, centre, start, end):
        address = f"{service}-{centre}-0"
        await asyncio.sleep(start)
        self._client.unavailable.add(address)
        await asyncio.sleep(end - start)
        self._client.unavailable.discard(address)

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for preparer in self._preparers:
                preparer.advance(self._clock())
            for gateway in self._gateway_by_name.values():
                if gateway.is_running:
                    gateway.router.peers.update()
                    gateway.router.advance(self._clock())


@dataclass
class _Context:
    pool: str = ""
    preparer_link: object = None


class _Dialect:
    def result_address(self, handle):
        return handle.partition("/")[0]
