"""Writes of a large fleet's gateways that a restored store has lost.

Bound: the store takes 400 writes a second of all gateways together.
"""

import asyncio
import gc
from bisect import bisect_right
from random import Random
from types import SimpleNamespace

import pytest
from result import Err, Ok

from wharf_gateway.peers.registry import Registry
from wharf_gateway.restoration import GRACE_SECONDS
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.store_error import StoreUnavailable
from wharf_gateway.store.stored_object import StoredObject
from wharf_standins.virtual_time import VirtualTimeLoop

WRITES_PER_SECOND = 400
WATCH_SECONDS = 0.15


class Store:
    """A store whose watchers hear of changes together, a moment later."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self.spec_by_name = {}
        self.registries = []
        self.written_at = []
        self._news = []

    async def create(self, kind, name, spec):
        self.written_at.append(self._loop.time())
        if name in self.spec_by_name:
            return Err(StoreUnavailable("exists", 409))
        self.spec_by_name[name] = spec
        if not self._news:
            self._loop.call_later(WATCH_SECONDS, self._tell)
        self._news.append(StoredObject(name, 1, spec))
        return Ok(b"")

    def _tell(self):
        news, self._news = self._news, []
        for registry in self.registries:
            registry.update_entries(news, self._loop.time())

    def restore(self):
        """Come back without any entries."""
        self.spec_by_name.clear()
        self.written_at.clear()
        for registry in self.registries:
            registry.eras.record(2, self._loop.time())
            registry.replace_entries([], self._loop.time())


def _fleet(size):
    store = Store()
    for number in range(size):
        settings = SimpleNamespace(
            name=f"gateway-{number}",
            host="10.0.0.1",
            peer_port=1,
            data_centre="dc",
            capacity=1.0,
        )
        registry = Registry(
            settings, store, Random(number), lambda entries: None, StoreEras()
        )
        registry.eras = registry._eras
        registry.eras.record(1, 0.0)
        store.registries.append(registry)
    return store


def _most_in_a_second(times):
    return max(bisect_right(times, at + 1.0) - index for index, at in enumerate(times))


@pytest.fixture(autouse=True)
def collect_garbage():
    """Free a million objects here, which takes seconds, and not in the next test."""
    yield
    gc.collect()


# Guards against writes that the store refuses as all gateways register at once.
@pytest.mark.parametrize("size", [3, 100, 1000])
def test_all_gateways_register_again_within_the_rate(size):
    async def run():
        store = _fleet(size)
        tasks = [asyncio.create_task(r.register()) for r in store.registries]
        await asyncio.sleep(5.0)
        store.restore()
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(GRACE_SECONDS)
        counts = {len(registry.entry_by_name) for registry in store.registries}
        for registry in store.registries:
            registry.advance(asyncio.get_running_loop().time())
        counts |= {len(registry.entry_by_name) for registry in store.registries}
        for task in tasks:
            task.cancel()
        return counts, store.written_at, began

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        counts, written_at, began = runner.run(run())
    assert counts == {size}
    assert len(written_at) == size
    assert _most_in_a_second(written_at) <= WRITES_PER_SECOND
    assert max(written_at) - began < GRACE_SECONDS - WATCH_SECONDS
