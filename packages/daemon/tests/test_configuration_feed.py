"""Newer configurations in the store reach an entry within a bound."""

import asyncio
from contextlib import suppress
from random import Random

import pytest
from result import Err, Ok

from wharf_daemon.configuration_feed import ConfigurationFeed
from wharf_daemon.metrics import Metrics
from wharf_platform import StoredObject
from wharf_platform.configuration import CONFIGURATION_KEY, Document
from wharf_platform.store_error import Unavailable

# Within which the operators expect a configuration to be in force everywhere.
IN_FORCE_SECONDS = 9.0


class Store:
    """A client of a store; its watches say nothing while they are `silent`."""

    def __init__(self):
        self.revision = 1
        self.silent = False
        self.lists = 0
        self.watches = 0
        self.answers = True

    def _stored(self):
        text = Document(revision=self.revision).to_json()
        return Ok(StoredObject(CONFIGURATION_KEY, self.revision, text))

    async def watch(self, key, version):
        self.watches += 1
        if version == self.revision:
            async with asyncio.timeout(25.0):
                while self.silent or version == self.revision:
                    await asyncio.sleep(0.1)
        return self._stored()

    async def list_versions(self, prefix):
        self.lists += 1
        if not self.answers:
            return Err(Unavailable(prefix, "status 503"))
        return Ok({CONFIGURATION_KEY: self.revision, f"{CONFIGURATION_KEY}/other": 9})


@pytest.fixture
def store():
    return Store()


@pytest.fixture
async def feed(store):
    feed = ConfigurationFeed(Metrics())
    task = asyncio.ensure_future(feed.watch_store(store, Random(1)))
    await asyncio.sleep(1.0)
    yield feed
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


# Guards against a watch on a connection that has gone silent for good, so that an entry
# kept to an old configuration for up to 25 s.
async def test_change_behind_a_silent_watch_is_in_force_within_the_bound(store, feed):
    store.silent = True
    store.revision = 2

    await asyncio.sleep(IN_FORCE_SECONDS)

    assert feed.document.revision == 2


async def test_watch_that_misses_nothing_is_kept(store, feed):
    watches = store.watches
    await asyncio.sleep(18.0)

    assert store.watches == watches
    assert store.lists <= 4


async def test_watch_is_kept_while_the_store_cannot_be_asked(store, feed):
    store.answers = False
    watches = store.watches
    await asyncio.sleep(10.0)
    store.revision = 2
    await asyncio.sleep(0.2)

    assert feed.document.revision == 2
    assert store.watches == watches + 1
