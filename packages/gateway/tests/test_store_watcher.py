"""Watching the store across broken watches, outages and dropped history."""

import asyncio
from collections import Counter
from random import Random

import pytest
from result import Err, Ok

from wharf_gateway.store.outage import Outage
from wharf_gateway.store.store_changes import StoreChanges
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.store_error import HistoryGone, StoreUnavailable
from wharf_gateway.store.store_kind import StoreKind
from wharf_gateway.store.store_page import StorePage
from wharf_gateway.store.store_position import StorePosition
from wharf_gateway.store.store_watcher import StoreWatcher
from wharf_gateway.store.stored_object import StoredObject


class Store:
    """A store that returns the given results of watches; later watches never end."""

    def __init__(self, *watches):
        self._watches = list(watches)
        self.calls = []

    async def list(self, kind, on_page):
        self.calls.append("list")
        position = StorePosition(None, len(self.calls))
        return Ok(StorePage((StoredObject("a", position.revision),), False, position))

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
    change = Ok(StoreChanges((), StorePosition(None, 7)))

    assert await calls_of(change) == ["list", "watch 1", "watch 7"]


async def test_objects_are_listed_again_after_a_broken_watch(calls_of):
    """On scale-1, seed 620945624302, the store accepted a watch from the old revision,
    had dropped the history after it, and returned no changes for ten seconds."""
    calls = await calls_of(Err(StoreUnavailable("connection lost")))

    assert calls == ["list", "watch 1", "list", "watch 3"]


async def test_objects_are_listed_again_after_history_is_dropped(calls_of):
    assert await calls_of(Err(HistoryGone())) == ["list", "watch 1", "list", "watch 3"]


async def test_changes_in_quick_succession_cost_one_call(calls_of):
    """Each call of each gateway costs money; a release changes an entry per second."""
    change = Ok(StoreChanges((StoredObject("a", 7),), StorePosition(None, 7)))

    assert await calls_of(change, coalesces=True, seconds=0.05) == ["list", "watch 1"]
    assert await calls_of(change, seconds=0.05) == ["list", "watch 1", "watch 7"]


def _ignore(objects, now):
    pass


class AbsentStore:
    """Reject all calls while `is_away`, and count them by kind."""

    def __init__(self):
        self.is_away = True
        self.calls = Counter()

    async def list(self, kind, on_page):
        self.calls[kind] += 1
        if self.is_away:
            return Err(StoreUnavailable("status 503"))
        return Ok(StorePage((), False, StorePosition(None, 1)))

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


class Eras:
    """A store whose listings and watches are answered by the test."""

    def __init__(self):
        self.calls = []

    async def list(self, kind, on_page):
        return await self._call("list", on_page)

    async def watch(self, kind, revision, wait_seconds):
        return await self._call(f"watch {revision}")

    async def _call(self, name, on_page=None):
        answer = asyncio.get_running_loop().create_future()
        self.calls.append((name, answer))
        page = await answer
        if on_page is not None:
            on_page(page)
        return Ok(page)


@pytest.fixture
async def restored():
    """Watch one kind; return the store, the eras, the watcher and what it applied."""
    store, eras, applied = Eras(), StoreEras(), []
    clock = asyncio.get_running_loop().time
    watcher = StoreWatcher(
        *(store, StoreKind.CONFIGURATION),
        lambda objects, now: applied.append(("listing", objects)),
        lambda objects, now: applied.append(("changes", objects)),
        *(Outage(), clock, Random(1)),
        eras=eras,
    )
    task = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.01)
    yield store, eras, watcher, applied
    task.cancel()


def _object(revision):
    return (StoredObject("a", revision),)


async def _answer(store, eras, answer):
    eras.record(answer.position.era, asyncio.get_running_loop().time())
    store.calls[-1][1].set_result(answer)
    await asyncio.sleep(0.01)


def _names(store):
    return [name for name, _ in store.calls]


# Guards against changes of one history that are applied to the objects of another.
async def test_changes_of_another_era_lead_to_a_listing(restored):
    store, eras, watcher, applied = restored
    await _answer(store, eras, StorePage(_object(7), False, StorePosition(1, 7)))
    await _answer(store, eras, StoreChanges(_object(9), StorePosition(2, 9)))

    await asyncio.sleep(0.2)
    assert _names(store) == ["list", "watch 7", "list"]
    assert len(applied) == 1
    await _answer(store, eras, StorePage(_object(5), False, StorePosition(2, 9)))
    await asyncio.sleep(0.2)
    assert _names(store)[3:] == ["watch 9"]
    assert applied[1:] == [("listing", _object(5))]


# Guards against a watch that waits on in a history that is gone.
async def test_a_waiting_watch_gives_way_to_a_listing(restored):
    store, eras, watcher, applied = restored
    await _answer(store, eras, StorePage(_object(7), False, StorePosition(1, 7)))
    now = asyncio.get_running_loop().time()
    eras.record(2, now)
    await asyncio.sleep(0.2)

    assert _names(store) == ["list", "watch 7", "list"]
    assert watcher.recovered_at == now
    assert watcher.unavailable_since is None
    assert not watcher.is_watching


# Guards against a listing that hangs on a connection to the store before its return.
async def test_a_listing_sent_before_a_restoration_is_sent_again(restored):
    store, eras, watcher, applied = restored
    eras.record(1, 0.0)
    eras.record(2, asyncio.get_running_loop().time())
    await asyncio.sleep(0.2)

    assert _names(store) == ["list", "list"]


# Guards against a second listing for what the first one has shown by itself.
async def test_a_listing_that_shows_the_new_era_goes_on(restored):
    store, eras, watcher, applied = restored
    eras.record(1, 0.0)
    await _answer(store, eras, StorePage(_object(7), False, StorePosition(2, 7)))
    await asyncio.sleep(0.2)

    assert _names(store) == ["list", "watch 7"]


# Guards against news of a feeder that has not noticed the restoration.
@pytest.mark.parametrize("era", [0, 1, 3, None])
async def test_news_of_another_era_are_not_applied(restored, era):
    store, eras, watcher, applied = restored
    eras.record(1, 0.0)
    await _answer(store, eras, StorePage(_object(7), False, StorePosition(2, 7)))
    since, position = StorePosition(era, 7), StorePosition(era, 9)
    watcher.apply_news(since, position, _object(9), 1.0)

    assert watcher.position == StorePosition(2, 7)
    assert len(applied) == 1


# Guards against changes that are applied after the store has begun another era.
async def test_news_of_an_era_that_has_ended_are_not_applied(restored):
    store, eras, watcher, applied = restored
    await _answer(store, eras, StorePage(_object(7), False, StorePosition(1, 7)))
    eras.record(2, asyncio.get_running_loop().time())
    since, position = StorePosition(1, 7), StorePosition(1, 9)
    watcher.apply_news(since, position, _object(9), 1.0)

    assert len(applied) == 1


# Guards against an object that is lost to a gateway as two feeders tell of its removal
# and creation in batches of different length.
async def test_a_removal_that_is_told_again_does_not_remove_what_was_created_since():
    revision_by_name = {}

    def on_changes(objects, now):
        for changed in objects:
            revision_by_name.pop(changed.name, None)
            if not changed.is_deleted:
                revision_by_name[changed.name] = changed.revision

    eras = StoreEras()
    eras.record(1, 0.0)
    watcher = StoreWatcher(
        None,
        StoreKind.UPSTREAMS,
        None,
        on_changes,
        None,
        lambda: 0.0,
        Random(1),
        eras=eras,
    )
    watcher.position = since = StorePosition(1, 40)
    created, removed = StoredObject("x", 42), StoredObject("x", 42, is_deleted=True)
    created_again, other = StoredObject("x", 48), StoredObject("y", 53)
    batch = (created, removed, created_again)

    watcher.apply_news(since, StorePosition(1, 50), batch, 0.0)
    watcher.apply_news(since, StorePosition(1, 55), (*batch, other), 0.0)
    assert revision_by_name == {"x": 48, "y": 53}

    removed_again = StoredObject("x", 48, is_deleted=True)
    watcher.apply_news(since, StorePosition(1, 60), (removed_again,), 0.0)
    assert revision_by_name == {"y": 53}
