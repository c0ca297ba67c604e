"""Bringing about of the faults of a scenario."""

import asyncio
from itertools import count

from wharf_standins.bench.fault import Dying, HalfGone, SlowStage, TakenOut, TurnCold
from wharf_standins.bench.out_period import OutPeriod

__all__ = ["FaultRunner"]

DEATH_PERIOD_SECONDS = 1.0


class FaultRunner:
    """Bring about faults on a world while callers load it for `seconds`."""

    def __init__(self, world, seconds, rng):
        self._world = world
        self._seconds = seconds
        self._rng = rng
        self.out_periods = []

    async def run(self, fault):
        """Bring about one fault at its time."""
        match fault:
            case HalfGone():
                await self._lose_half()
            case SlowStage(pool, factor):
                await asyncio.sleep(self._seconds / 3)
                for upstream in self._pool(pool):
                    upstream.slowdown = factor
            case TurnCold():
                await self._turn_cold()
            case Dying():
                await self._kill_one_by_one()
            case TakenOut(times):
                await self._take_out(times)

    async def _lose_half(self):
        await asyncio.sleep(self._seconds / 3)
        for name in list(self._world.upstream_by_name)[1::2]:
            self._world.lose_host(name)

    async def _turn_cold(self):
        upstreams = list(self._world.upstream_by_name.values())[::2]
        pause = self._seconds / (len(upstreams) + 2)
        for upstream in upstreams:
            await asyncio.sleep(pause)
            upstream.turn_cold()

    async def _kill_one_by_one(self):
        upstreams = list(self._world.upstream_by_name.values())
        for _ in count():
            await asyncio.sleep(DEATH_PERIOD_SECONDS)
            asyncio.ensure_future(self._rng.choice(upstreams).crash())

    async def _take_out(self, times):
        pause = self._seconds / (2 * times + 1)
        data_centre = self._world.shape.data_centres[0]
        for _ in range(times):
            await asyncio.sleep(pause)
            await self._publish(frozenset({data_centre}))
            begin = asyncio.get_running_loop().time()
            await asyncio.sleep(pause)
            end = asyncio.get_running_loop().time()
            await self._publish(frozenset())
            self.out_periods.append(OutPeriod(data_centre, begin, end))

    async def _publish(self, out):
        document = self._world.document.successor("bench", out_data_centres=out)
        await self._world.publish(document)

    def _pool(self, pool):
        by_name = self._world.upstream_by_name
        return [by_name[name] for name in by_name if name.startswith(f"{pool}-")]
