"""Runs the steps of all requests that are prepared in one pool."""

import asyncio
from functools import partial

import structlog
from result import Err

from wharf_gateway.stages.batcher import Batcher
from wharf_gateway.stages.demand import Demand
from wharf_gateway.stages.preparation_failure import (
    PREPARER_STOPS,
    PreparationFailure,
)
from wharf_gateway.stages.preparation_scheduler import (
    PreparationScheduler,
    ScheduleEntry,
)
from wharf_gateway.stages.step_runner import StepRunner

__all__ = ["Preparer"]

log = structlog.get_logger(__name__)

MAX_RETRY_AFTER_SECONDS = 10.0  # also if no upstream is known
MIN_RETRY_AFTER_SECONDS = 0.2  # less is of the order of a caller's round trip


class Preparer:
    """Schedule the preparations of one pool and batch the pieces of their steps.

    Only one gateway at a time prepares for a pool, so that batches are filled with
    pieces from all gateways. If the gateways' views differ and two of them prepare,
    the batches are less full. `settings` are those of the gateway.
    """

    def __init__(self, fleet, client, pool, clock, settings=None):
        self._settings = settings
        self._fleet = fleet
        self._client = client
        self.pool = pool
        self._clock = clock
        self.batcher_by_service = {}
        self._runner = StepRunner(fleet, self.batcher, clock)
        self._service_by_handle = {}
        self._scheduler = PreparationScheduler()
        self._future_by_entry = {}

    def batcher(self, service):
        """Return the batcher of a service, created on first use."""
        if service not in self.batcher_by_service:
            self.batcher_by_service[service] = Batcher(
                self._fleet,
                self._client,
                service,
                self.pool,
                self._clock,
                self._settings,
            )
        return self.batcher_by_service[service]

    async def run(self, preparation):
        """Return the handles of the final results, or a `PreparationFailure`."""
        plan = self._runner.plan(preparation)
        entry = ScheduleEntry(preparation, Demand.from_plan(plan), self._clock())
        for service in entry.demand.pieces_by_service:
            self.batcher(service)
        self._scheduler.add(entry)
        future = asyncio.get_running_loop().create_future()
        self._future_by_entry[entry] = future
        self.advance(self._clock())
        try:
            refusal = await future
            if refusal is not None:
                return Err(refusal)
            started = self._clock()
            answer = await self._runner.run(
                preparation, plan, partial(self._scheduler.record_done, entry)
            )
            self._scheduler.record_duration(entry, self._clock() - started)
            return answer.map(self._record_services)
        finally:
            self._future_by_entry.pop(entry, None)
            self._scheduler.remove(entry)
            self.advance(self._clock())

    def dump(self, now):
        """Return the current load and the estimates behind decisions, for operators."""
        return {
            "waiting": len(self._scheduler.waiting),
            "running": len(self._scheduler.running),
            "stretch": round(self._scheduler.stretch, 2),
            "pieces_a_second": {
                name: round(rate, 1) for name, rate in self._rates(now).items()
            },
            "delayed_starts": {
                name: batcher.delayed_starts
                for name, batcher in self.batcher_by_service.items()
            },
            "queued_pieces": {
                name: len(batcher.queue)
                for name, batcher in self.batcher_by_service.items()
            },
        }

    @property
    def pending_count(self):
        """Return the number of preparations that wait or run."""
        return len(self._future_by_entry)

    def free(self, handles):
        """Drop results that are no longer needed."""
        by_service = {}
        for handle in handles:
            service = self._service_by_handle.pop(handle, None)
            if service is not None:
                by_service.setdefault(service, []).append(handle)
        for service, freed in by_service.items():
            self.batcher(service).free(freed)

    def hand_over(self):
        """Return the preparations that wait to the gateways that asked for them.

        They ask again elsewhere; those that run go on here.
        """
        for entry in self._scheduler.remove_waiting():
            log.info("preparation_handed_over", request=entry.preparation.call_id)
            self._resolve(entry, PreparationFailure(PREPARER_STOPS))

    def advance(self, now):
        """Start calls and preparations, and refuse preparations without a chance."""
        for batcher in self.batcher_by_service.values():
            batcher.advance(now)
        rates = self._rates(now)
        waits = {
            service: batcher.quiet_wait(now)
            for service, batcher in self.batcher_by_service.items()
        }
        for entry, delay in self._scheduler.remove_infeasible(rates, now, waits):
            retry = min(max(delay, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
            log.info(
                "preparation_refused",
                request=entry.preparation.call_id,
                pool=self.pool.name,
                delay=round(min(delay, MAX_RETRY_AFTER_SECONDS), 3),
                left=round(entry.preparation.hard_deadline - now, 3),
                waiting=len(self._scheduler.waiting),
                running=len(self._scheduler.running),
            )
            self._resolve(entry, PreparationFailure("no room in time", retry))
        for entry in self._scheduler.start(rates, now):
            log.info(
                "preparation_started",
                request=entry.preparation.call_id,
                waited=round(now - entry.arrived, 3),
                to_aim=round(entry.preparation.soft_deadline - now, 3),
                expected=round(entry.demand.seconds, 3),
                stretch=round(self._scheduler.stretch, 2),
                waiting=len(self._scheduler.waiting),
                running=len(self._scheduler.running),
            )
            self._resolve(entry, None)

    def backlog(self, now):
        """Return the seconds that the busiest service needs for all queued work."""
        return self._scheduler.backlog(self._rates(now))

    def _rates(self, now):
        return {
            service: batcher.throughput(now)
            for service, batcher in self.batcher_by_service.items()
        }

    def _resolve(self, entry, refusal):
        future = self._future_by_entry.get(entry)
        if future is not None and not future.done():
            future.set_result(refusal)

    def _record_services(self, results):
        for service, handle in results:
            self._service_by_handle[handle] = service
        return [handle for _, handle in results]
