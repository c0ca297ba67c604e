"""Fetching of a newer configuration from one peer at a time."""

import asyncio
from random import Random

import pytest

from wharf_daemon.configuration_feed import ConfigurationFeed
from wharf_daemon.configuration_fetcher import ANSWER_SECONDS, ConfigurationFetcher
from wharf_daemon.metrics import Metrics
from wharf_platform.configuration import Document


class Peer:
    """A peer that counts how often it is asked."""

    def __init__(self):
        self.asked = 0

    async def request_configuration(self):
        self.asked += 1


@pytest.fixture
def feed():
    return ConfigurationFeed(Metrics())


@pytest.fixture
def fetcher(feed):
    return ConfigurationFetcher(feed, Random(1))


@pytest.fixture
def peers():
    return [Peer() for _ in range(5)]


async def test_one_of_many_peers_that_are_ahead_is_asked(fetcher, feed, peers):
    for peer in peers:
        fetcher.observe(peer, 3)
    await asyncio.sleep(ANSWER_SECONDS / 2)
    assert sum(peer.asked for peer in peers) == 1
    feed.adopt(Document(revision=3).to_json(), "test")
    await asyncio.sleep(ANSWER_SECONDS * 4)
    assert sum(peer.asked for peer in peers) == 1


async def test_another_peer_is_asked_when_the_first_does_not_answer(fetcher, peers):
    silent, other = peers[:2]
    fetcher.observe(silent, 3)
    await asyncio.sleep(0)
    fetcher.forget(silent)
    fetcher.observe(other, 3)
    await asyncio.sleep(ANSWER_SECONDS * 1.5)
    assert (silent.asked, other.asked) == (1, 1)


async def test_peer_that_is_not_ahead_is_not_asked(fetcher, feed, peers):
    feed.adopt(Document(revision=3).to_json(), "test")
    fetcher.observe(peers[0], 3)
    fetcher.observe(peers[1], 2)
    await asyncio.sleep(ANSWER_SECONDS * 2)
    assert not any(peer.asked for peer in peers)


async def test_still_newer_revision_is_fetched_after_an_older_one(fetcher, feed, peers):
    fetcher.observe(peers[0], 3)
    fetcher.observe(peers[1], 4)
    await asyncio.sleep(0)
    feed.adopt(Document(revision=3).to_json(), "test")
    await asyncio.sleep(0)
    assert peers[1].asked == 1
