"""Emulation of gateways that prepare for each other, in virtual time."""

import asyncio
from dataclasses import dataclass
from functools import partial

from result import Err

from wharf_gateway.peers.candidates import candidates, reserves
from wharf_gateway.preparation_router import PreparationRouter
from wharf_gateway.stages.preparation_failure import PreparationFailure

__all__ = ["EmulatedGateway", "EmulatedSettings"]

LINK_SECONDS = 0.001
# From the start of a process until its links are up, and until it is ready before that.
START_SECONDS = 0.8


@dataclass(frozen=True, slots=True)
class EmulatedSettings:
    """The settings of a gateway that the preparation of requests depends on."""

    name: str
    data_centre: str
    capacity: float
    preparation_policy: str


class EmulatedGateway:
    """A gateway's preparation router, and the links that it would have.

    `fleet` and `client` are shared by all gateways; `by_name` has all gateways.
    """

    def __init__(self, settings, fleet, client, clock, by_name):
        self.settings = settings
        self._fleet = fleet
        self._client = client
        self._clock = clock
        self._by_name = by_name
        self.is_ready = True
        self.is_running = True
        self._pending = set()
        self.start()

    def start(self):
        """Start a process without any state."""
        self.is_ready = self.is_running = True
        self._life = _Life(self._client)
        self.router = PreparationRouter(
            self.settings, self._fleet, self._life, self._clock
        )
        self.router.peers = _Peers(self, self._by_name, self._clock)
        self.router.is_ready = lambda: self.is_ready

    def stop(self):
        """Accept no preparations any more and hand over those that wait."""
        self.is_ready = False
        self.router.hand_over()

    def kill(self):
        """End the process; its calls go on at the upstreams, its results stay."""
        self.is_ready = self.is_running = False
        self._life.is_over = True
        for future in list(self._pending):
            if not future.done():
                future.set_result(Err(PreparationFailure("link lost")))

    async def prepare(self, preparation, context):
        """Return the answer to a preparation of this gateway's own request."""
        return await self._until_killed(self.router.run(preparation, context))

    async def prepare_for_peer(self, preparation, pool):
        """Return the answer to a preparation that another gateway sends."""
        return await self._until_killed(self.router.preparer(pool).run(preparation))

    async def _until_killed(self, preparing):
        future = asyncio.get_running_loop().create_future()
        self._pending.add(future)
        task = asyncio.ensure_future(preparing)
        task.add_done_callback(partial(_set_result, future))
        try:
            return await future
        finally:
            self._pending.discard(future)
            if not task.done():
                task.cancel()


def _set_result(future, task):
    if not future.done() and not task.cancelled():
        future.set_result(task.result())


class _Life:
    """The client of one process: nothing that it sends has any effect after its end."""

    def __init__(self, client):
        self._client = client
        self.is_over = False

    async def run(self, *arguments):
        if self.is_over:
            await asyncio.Event().wait()
        return await self._client.run(*arguments)

    async def free(self, *arguments):
        if not self.is_over:
            await self._client.free(*arguments)

    async def free_bytes(self, upstream):
        return await self._client.free_bytes(upstream)

    def free_orphaned(self, handles):
        for handle in handles:
            address = handle.partition("/")[0]
            asyncio.ensure_future(self.free(address, [handle]))


class _Peers:
    def __init__(self, gateway, by_name, clock):
        self._gateway = gateway
        self._by_name = by_name
        self._has_reserves = False
        self._links = {}
        self.candidates = self.reserves = frozenset()

    def use_reserves(self):
        self._has_reserves = True

    def update(self):
        capacities = {n: g.settings.capacity for n, g in self._by_name.items()}
        self.candidates = candidates(capacities)
        self.reserves = reserves(capacities) if self._has_reserves else frozenset()
        linked = self.candidates | self.reserves
        own = self._gateway.settings.name
        self._links = {
            name: _Link(other)
            for name, other in self._by_name.items()
            if name != own and (own in linked or name in linked)
        }

    def available(self, now):
        return {n: link for n, link in self._links.items() if link.is_available}


class _Link:
    def __init__(self, gateway):
        self._gateway = gateway
        self.name = gateway.settings.name
        self.data_centre = gateway.settings.data_centre
        self.is_closed = False

    @property
    def is_available(self):
        return self._gateway.is_ready

    @property
    def backlog_by_pool(self):
        return self._gateway.router.load()[1]

    async def prepare(self, preparation, pool):
        await asyncio.sleep(LINK_SECONDS)
        if not self._gateway.is_running:
            return Err(PreparationFailure("link lost"))
        answer = await self._gateway.prepare_for_peer(preparation, pool)
        await asyncio.sleep(LINK_SECONDS)
        return answer

    def post(self, message):
        if self._gateway.is_running:
            self._gateway.router.preparer(message.pool).free(message.handles)
