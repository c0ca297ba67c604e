"""Loading of a rollout's new version on its upstreams."""

import asyncio

from result import Err, Ok

from wharf_coordination import Ran, Refusal
from wharf_coordination.rollout import LoadLimiter

__all__ = ["VersionLoader"]

LOAD_OPERATION = "load_version"
LOAD_TIMEOUT_SECONDS = 300.0


class VersionLoader:
    """Send load orders, a few at a time because the weight store is rate-limited.

    An upstream refuses calls of a version that it has not loaded as not run, so
    nothing has to wait for a load. Orders name the desired state, so the next
    holder of the lease may send all of them again.
    """

    def __init__(self, orders, feed, max_loads):
        self._orders = orders
        self._feed = feed
        self._limiter = LoadLimiter(max_loads, LOAD_TIMEOUT_SECONDS)
        self._loaded = set()
        self._tasks = set()

    def load(self, running, fencing, now):
        """Send the next load orders of the running rollouts."""
        document = self._feed.document
        for participant in running:
            rollout = participant.rollout
            waiting = [
                name
                for name in _upstreams(document, rollout)
                if (rollout.id, name) not in self._loaded
            ]
            for name in self._limiter.begin(waiting, now):
                task = asyncio.create_task(self._send_order(rollout, name, fencing))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send_order(self, rollout, name, fencing):
        version = rollout.new_version
        result = await self._orders.send(name, LOAD_OPERATION, version, fencing)
        match result:
            case Ok(_):
                self._loaded.add((rollout.id, name))
                self._limiter.end(name)
            case Err(Refusal(ran=Ran.NO)):
                self._limiter.end(name)
            case Err(_):
                # The load may still run, so it occupies its slot until the timeout.
                pass


def _upstreams(document, rollout):
    folder = document.folder
    pool = folder.pools.get(rollout.pool)
    if pool is None or pool.kind != "engine":
        return []
    return [
        name
        for name, upstream in sorted(folder.upstreams.items())
        if upstream.pool == rollout.pool and upstream.version == rollout.new_version
    ]
