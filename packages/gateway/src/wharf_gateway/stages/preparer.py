"""Runs the steps of all requests that are prepared in one pool."""

import asyncio
from functools import partial

import structlog
from result import Err

from wharf_gateway.stages.batcher import Collector
from wharf_gateway.stages.demand import Demand
from wharf_gateway.stages.preparation_failure import PreparationFailure
from wharf_gateway.stages.preparation_scheduler import StartGate, Ticket
from wharf_gateway.stages.step_runner import StepRunner

__all__ = ["Preparer"]

log = structlog.get_logger(__name__)

LONGEST_RETRY_SECONDS = 10.0  # what is told where no upstream is known
SHORTEST_RETRY_SECONDS = 0.2  # below it a caller's way there and back counts


class Preparer:
    """Own the collectors and the gate of a pool's services.

    One gateway prepares for a pool at a time, so that calls are filled with
    pieces from all gateways. Where views differ and two do, calls are less full.
    """

    def __init__(self, fleet, caller, pool, clock):
        self._fleet = fleet
        self._caller = caller
        self.pool = pool
        self._clock = clock
        self.collector_by_service = {}
        self._steps = StepRunner(fleet, self.collector, clock)
        self._service_by_handle = {}
        self._gate = StartGate()
        self._future_by_ticket = {}

    def collector(self, service):
        """Return the collector of a service, made at its first use."""
        if service not in self.collector_by_service:
            self.collector_by_service[service] = Collector(
                self._fleet, self._caller, service, self.pool, self._clock
            )
        return self.collector_by_service[service]

    async def run(self, preparation):
        """Return the handles of a request's final results, or why there are none."""
        plan = self._steps.plan(preparation)
        ticket = Ticket(preparation, Demand.of(plan), self._clock())
        for service in ticket.demand.pieces_by_service:
            self.collector(service)
        self._gate.add(ticket)
        future = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket] = future
        self.advance(self._clock())
        try:
            refusal = await future
            if refusal is not None:
                return Err(refusal)
            started = self._clock()
            answer = await self._steps.run(
                preparation, plan, partial(self._gate.note_done, ticket)
            )
            self._gate.note_end(ticket, self._clock() - started)
            return answer.map(self._remember)
        finally:
            self._future_by_ticket.pop(ticket, None)
            self._gate.remove(ticket)
            self.advance(self._clock())

    def dump(self, now):
        """Return the work at hand and the figures that decide, for operators."""
        return {
            "waiting": len(self._gate.waiting),
            "running": len(self._gate.running),
            "stretch": round(self._gate.stretch, 2),
            "pieces_a_second": {
                name: round(rate, 1) for name, rate in self._rates(now).items()
            },
            "queued_pieces": {
                name: len(collector.queue)
                for name, collector in self.collector_by_service.items()
            },
        }

    @property
    def busy(self):
        """Return the number of preparations that run or wait."""
        return len(self._future_by_ticket)

    def free(self, handles):
        """Drop results that are not needed any more."""
        by_service = {}
        for handle in handles:
            service = self._service_by_handle.pop(handle, None)
            if service is not None:
                by_service.setdefault(service, []).append(handle)
        for service, freed in by_service.items():
            self.collector(service).free(freed)

    def advance(self, now):
        """Start, refuse or expire what the present time allows."""
        for collector in self.collector_by_service.values():
            collector.advance(now)
        rates = self._rates(now)
        for ticket, delay in self._gate.hopeless(rates, now):
            retry = min(max(delay, SHORTEST_RETRY_SECONDS), LONGEST_RETRY_SECONDS)
            log.info(
                "preparation_refused",
                request=ticket.preparation.call_id,
                pool=self.pool.name,
                delay=round(min(delay, LONGEST_RETRY_SECONDS), 3),
                left=round(ticket.preparation.hard_deadline - now, 3),
                waiting=len(self._gate.waiting),
                running=len(self._gate.running),
            )
            self._resolve(ticket, PreparationFailure("no room in time", retry))
        for ticket in self._gate.start(rates, now):
            log.info(
                "preparation_started",
                request=ticket.preparation.call_id,
                waited=round(now - ticket.arrived, 3),
                to_aim=round(ticket.preparation.soft_deadline - now, 3),
                expected=round(ticket.demand.seconds, 3),
                stretch=round(self._gate.stretch, 2),
                waiting=len(self._gate.waiting),
                running=len(self._gate.running),
            )
            self._resolve(ticket, None)

    def backlog(self, now):
        """Return the seconds of work of the busiest service."""
        return self._gate.backlog(self._rates(now))

    def _rates(self, now):
        return {
            service: collector.throughput(now)
            for service, collector in self.collector_by_service.items()
        }

    def _resolve(self, ticket, refusal):
        future = self._future_by_ticket.get(ticket)
        if future is not None and not future.done():
            future.set_result(refusal)

    def _remember(self, results):
        for service, handle in results:
            self._service_by_handle[handle] = service
        return [handle for _, handle in results]
