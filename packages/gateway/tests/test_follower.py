"""Following the store through cut watches, outages and dropped history."""

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
    """Answer listings, and watches in the given order; then wait for ever."""

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
def follow():
    async def run(*watches, coalesces=False, seconds=0.3):
        store = Store(*watches)
        clock = asyncio.get_running_loop().time
        follower = StoreWatcher(
            store,
            StoreKind.CONFIGURATION,
            lambda objects, now: None,
            lambda objects, now: None,
            Outage(),
            clock,
            Random(1),
            coalesces=coalesces,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return store.calls

    return run


async def test_a_watch_goes_on_from_the_last_revision(follow):
    assert await follow(Ok(StoreChanges((), 7))) == ["list", "watch 1", "watch 7"]


async def test_a_cut_watch_is_not_taken_up_again(follow):
    """As on scale-1, seed 620945624302: the store took the old revision for a watch,
    had dropped what came after it, and told nothing for ten seconds."""
    calls = await follow(Err(StoreUnavailable("connection lost")))

    assert calls == ["list", "watch 1", "list", "watch 3"]


async def test_dropped_history_is_listed_anew(follow):
    assert await follow(Err(HistoryGone())) == ["list", "watch 1", "list", "watch 3"]


async def test_changes_that_come_together_cost_one_call(follow):
    """Each call of each gateway is priced; a release changes an entry a second."""
    change = Ok(StoreChanges((StoredObject("a", 7),), 7))

    assert await follow(change, coalesces=True, seconds=0.05) == ["list", "watch 1"]
    assert await follow(change, seconds=0.05) == ["list", "watch 1", "watch 7"]


def _ignore(objects, now):
    pass


class AbsentStore:
    """Refuse all calls until it is back, and count them by kind."""

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
async def followed():
    """Follow all kinds in a store that is away."""
    store, outage = AbsentStore(), Outage()
    clock = asyncio.get_running_loop().time
    followers = [
        StoreWatcher(store, kind, _ignore, _ignore, outage, clock, Random(1))
        for kind in StoreKind
    ]
    tasks = [asyncio.create_task(follower.run()) for follower in followers]
    yield store, followers
    for task in tasks:
        task.cancel()


async def test_while_the_store_is_away_one_follower_tries_for_all(followed):
    """Five kinds in 29 gateways made a thousand refused calls in one outage."""
    store, followers = followed
    await asyncio.sleep(0.9)

    assert sorted(store.calls.values())[:-1] == [1] * (len(followers) - 1)
    assert 3 <= max(store.calls.values()) <= 8

    store.is_away = False
    await asyncio.sleep(1.1)
    assert all(follower.unavailable_since is None for follower in followers)
