"""Runs the steps of all requests that are prepared in one data centre."""

from wharf_gateway.stages.collector import Collector
from wharf_gateway.stages.step_runner import StepRunner

__all__ = ["Preparer"]


class Preparer:
    """Own the collectors of a data centre's services.

    One gateway prepares for a data centre at a time, so that calls are filled with
    pieces from all gateways. Where views differ and two do, calls are less full.
    """

    def __init__(self, fleet, caller, data_centre, clock):
        self._fleet = fleet
        self._caller = caller
        self.data_centre = data_centre
        self._clock = clock
        self.collector_by_service = {}
        self._steps = StepRunner(fleet, self.collector, clock)
        self._service_by_handle = {}

    def collector(self, service):
        """Return the collector of a service, made at its first use."""
        if service not in self.collector_by_service:
            self.collector_by_service[service] = Collector(
                self._fleet, self._caller, service, self.data_centre, self._clock
            )
        return self.collector_by_service[service]

    async def run(self, preparation):
        """Return the handles of a request's final results, or why there are none."""
        answer = await self._steps.run(preparation)
        return answer.map(self._remember)

    def free(self, handles):
        """Drop results that are not needed any more."""
        now = self._clock()
        by_service = {}
        for handle in handles:
            service = self._service_by_handle.pop(handle, None)
            if service is not None:
                by_service.setdefault(service, []).append(handle)
        for service, freed in by_service.items():
            self.collector(service).free(freed, now)

    def advance(self, now):
        """Look after what has expired."""
        for collector in self.collector_by_service.values():
            collector.advance(now)

    def backlog(self, now):
        """Return the seconds by which a request's steps take longer than when idle."""
        backlogs = [c.backlog(now) for c in self.collector_by_service.values()]
        return sum(backlogs)

    def _remember(self, results):
        for service, handle in results:
            self._service_by_handle[handle] = service
        return [handle for _, handle in results]
