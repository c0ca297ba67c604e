"""Injection of the faults of a scenario."""

import asyncio
from itertools import count

from wharf_standins.bench.fault import (
    ColdUpstreams,
    DataCentreOut,
    HostLoss,
    RepeatedCrashes,
    SlowStage,
)
from wharf_standins.bench.out_period import OutPeriod

__all__ = ["FaultRunner"]

CRASH_PERIOD_SECONDS = 1.0


class FaultRunner:
    """Inject faults into a system while callers load it for `seconds`."""

    def __init__(self, system, seconds, rng):
        self._system = system
        self._seconds = seconds
        self._rng = rng
        self.out_periods = []

    async def run(self, fault):
        """Inject one fault at its time."""
        match fault:
            case HostLoss():
                await self._remove_hosts()
            case SlowStage(pool, factor):
                await asyncio.sleep(self._seconds / 3)
                for upstream in self._pool(pool):
                    upstream.slowdown = factor
            case ColdUpstreams():
                await self._make_cold()
            case RepeatedCrashes():
                await self._crash_repeatedly()
            case DataCentreOut(times):
                await self._take_out(times)

    async def _remove_hosts(self):
        await asyncio.sleep(self._seconds / 3)
        for name in list(self._system.upstream_by_name)[1::2]:
            self._system.remove_host(name)

    async def _make_cold(self):
        upstreams = list(self._system.upstream_by_name.values())[::2]
        pause = self._seconds / (len(upstreams) + 2)
        for upstream in upstreams:
            await asyncio.sleep(pause)
            upstream.turn_cold()

    async def _crash_repeatedly(self):
        upstreams = list(self._system.upstream_by_name.values())
        for _ in count():
            await asyncio.sleep(CRASH_PERIOD_SECONDS)
            asyncio.ensure_future(self._rng.choice(upstreams).crash())

    async def _take_out(self, times):
        pause = self._seconds / (2 * times + 1)
        data_centre = self._system.shape.data_centres[0]
        for _ in range(times):
            await asyncio.sleep(pause)
            await self._publish(frozenset({data_centre}))
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(pause)
            end = asyncio.get_running_loop().time()
            await self._publish(frozenset())
            self.out_periods.append(OutPeriod(data_centre, begin, end))

    async def _publish(self, out):
        document = self._system.document.successor("bench", out_data_centres=out)
        await self._system.publish(document)

    def _pool(self, pool):
        by_name = self._system.upstream_by_name
        return [by_name[name] for name in by_name if name.startswith(f"{pool}-")]
