"""Watching the store across broken watches, outages and dropped history."""

import asyncio
from collections import Counter
from random import Random

import pytest
from result import Err, Ok

from wharf_gateway.store.outage import Outage
from wharf_gateway.store.store_changes import StoreChanges
from wharf_gateway.store.store_error import HistoryGone, StoreUnavailable
from wharf_gateway.store.store_kind import StoreKind
from wharf_gateway.store.store_watcher import StoreWatcher
from wharf_gateway.store.stored_object import StoredObject


class Store:
    """A store that returns the given results of watches; later watches never end."""

    def __init__(self, *watches):
        self._watches = list(watches)
        self.calls = []

    async def list(self, kind):
        self.calls.append("list")
        return Ok(([StoredObject("a", len(self.calls))], len(self.calls)))

    async def watch(self, kind, revision, wait_seconds):
        self.calls.append(f"watch {revision}")
        if not self._watches:
            await asyncio.Event().wait()
        return self._watches.pop(0)


@pytest.fixture
def calls_of():
    async def run(*watches, coalesces=False, seconds=0.3):
        store = Store(*watches)
        clock = asyncio.get_running_loop().time
        watcher = StoreWatcher(
            store,
            StoreKind.CONFIGURATION,
            lambda objects, now: None,
            lambda objects, now: None,
            Outage(),
            clock,
            Random(1),
            coalesces=coalesces,
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return store.calls

    return run


async def test_a_watch_continues_from_the_last_revision(calls_of):
    assert await calls_of(Ok(StoreChanges((), 7))) == ["list", "watch 1", "watch 7"]


async def test_objects_are_listed_again_after_a_broken_watch(calls_of):
    """On scale-1, seed 620945624302, the store accepted a watch from the old revision,
    had dropped the history after it, and returned no changes for ten seconds."""
    calls = await calls_of(Err(StoreUnavailable("connection lost")))

    assert calls == ["list", "watch 1", "list", "watch 3"]


async def test_objects_are_listed_again_after_history_is_dropped(calls_of):
    assert await calls_of(Err(HistoryGone())) == ["list", "watch 1", "list", "watch 3"]


async def test_changes_in_quick_succession_cost_one_call(calls_of):
    """Each call of each gateway costs money; a release changes an entry per second."""
    change = Ok(StoreChanges((StoredObject("a", 7),), 7))

    assert await calls_of(change, coalesces=True, seconds=0.05) == ["list", "watch 1"]
    assert await calls_of(change, seconds=0.05) == ["list", "watch 1", "watch 7"]


def _ignore(objects, now):
    pass


class AbsentStore:
    """Reject all calls while `is_away`, and count them by kind."""

    def __init__(self):
        self.is_away = True
        self.calls = Counter()

    async def list(self, kind):
        self.calls[kind] += 1
        if self.is_away:
            return Err(StoreUnavailable("status 503"))
        return Ok(([], 1))

    async def watch(self, kind, revision, wait_seconds):
        await asyncio.Event().wait()


@pytest.fixture
async def watched():
    """Watch all kinds in a store that is unavailable."""
    store, outage = AbsentStore(), Outage()
    clock = asyncio.get_running_loop().time
    watchers = [
        StoreWatcher(store, kind, _ignore, _ignore, outage, clock, Random(1))
        for kind in StoreKind
    ]
    tasks = [asyncio.create_task(watcher.run()) for watcher in watchers]
    yield store, watchers
    for task in tasks:
        task.cancel()


async def test_one_watcher_probes_an_unavailable_store_for_all(watched):
    """Without this, 29 gateways with five kinds made a thousand rejected calls in one
    outage."""
    store, watchers = watched
    await asyncio.sleep(0.9)

    assert sorted(store.calls.values())[:-1] == [1] * (len(watchers) - 1)
    assert 3 <= max(store.calls.values()) <= 8

    store.is_away = False
    await asyncio.sleep(1.1)
    assert all(watcher.unavailable_since is None for watcher in watchers)
