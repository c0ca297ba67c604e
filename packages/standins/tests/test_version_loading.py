"""The lease's holder orders a rollout's version, a few loads at a time."""

import asyncio
import time

from result import Ok

from wharf_coordination.rollout import Participant, Rollout
from wharf_daemon.entry.version_loader import VersionLoader
from wharf_standins.loopback import Loopback

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
NEW_UPSTREAMS = ("model-1", "model-2", "model-3")
SHAPE = {"model": ("dc-1",) * 4}
VERSIONS = dict.fromkeys(NEW_UPSTREAMS, "2")


class Orders:
    """Write down orders and let the test say when each has been obeyed."""

    def __init__(self):
        self.result_by_upstream = {}

    async def send(self, upstream, operation, subject, fencing):
        result = asyncio.get_running_loop().create_future()
        self.result_by_upstream[upstream] = result
        return await result


def rollout(duration=60.0):
    return Rollout("r1", "model", "1", "2", duration, started_at=time.time())


async def test_new_upstreams_are_ordered_to_load_the_version():
    async with Loopback(SHAPE, PIPELINES, entries=2, versions=VERSIONS) as system:
        document = system.entries[0].feed.document
        await system.publish(document.successor("op", rollouts={"model": rollout()}))
        engines = [system.engine_by_name[name] for name in NEW_UPSTREAMS]
        async with asyncio.timeout(10):
            while not all("2" in engine.orders.versions for engine in engines):
                await asyncio.sleep(0.02)
        assert system.engine_by_name["model-0"].orders.records == []


async def test_only_a_few_load_at_a_time():
    async with Loopback(SHAPE, PIPELINES, versions=VERSIONS) as system:
        orders = Orders()
        loader = VersionLoader(orders, system.entries[0].feed, max_loads=2)
        running = [Participant.join(rollout(), 0.0, time.time())]
        loader.load(running, fencing=1, now=0.0)
        loader.load(running, fencing=1, now=1.0)
        await asyncio.sleep(0)
        assert list(orders.result_by_upstream) == ["model-1", "model-2"]
        orders.result_by_upstream["model-1"].set_result(Ok(None))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        loader.load(running, fencing=1, now=2.0)
        await asyncio.sleep(0)
        assert list(orders.result_by_upstream) == list(NEW_UPSTREAMS)
