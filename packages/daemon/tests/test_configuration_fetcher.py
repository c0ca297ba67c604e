"""Retrieval of newer configurations from one peer at a time."""

import asyncio
from random import Random

import pytest

from wharf_daemon.configuration_feed import ConfigurationFeed
from wharf_daemon.configuration_fetcher import (
    RESPONSE_TIMEOUT_SECONDS,
    ConfigurationFetcher,
)
from wharf_daemon.metrics import Metrics
from wharf_platform.configuration import Document


class Peer:
    """A peer that counts the requests it gets."""

    def __init__(self):
        self.request_count = 0

    async def request_configuration(self):
        self.request_count += 1


@pytest.fixture
def feed():
    return ConfigurationFeed(Metrics())


@pytest.fixture
def fetcher(feed):
    return ConfigurationFetcher(feed, Random(1))


@pytest.fixture
def peers():
    return [Peer() for _ in range(5)]


async def test_only_one_of_several_newer_peers_is_asked(fetcher, feed, peers):
    for peer in peers:
        fetcher.observe_revision(peer, 3)
    await asyncio.sleep(RESPONSE_TIMEOUT_SECONDS / 2)
    assert sum(peer.request_count for peer in peers) == 1
    feed.adopt(Document(revision=3).to_json(), "test")
    await asyncio.sleep(RESPONSE_TIMEOUT_SECONDS * 4)
    assert sum(peer.request_count for peer in peers) == 1


async def test_another_peer_is_asked_after_a_timeout(fetcher, peers):
    silent, other = peers[:2]
    fetcher.observe_revision(silent, 3)
    await asyncio.sleep(0)
    fetcher.remove_peer(silent)
    fetcher.observe_revision(other, 3)
    await asyncio.sleep(RESPONSE_TIMEOUT_SECONDS * 1.5)
    assert (silent.request_count, other.request_count) == (1, 1)


async def test_peer_without_a_newer_revision_is_not_asked(fetcher, feed, peers):
    feed.adopt(Document(revision=3).to_json(), "test")
    fetcher.observe_revision(peers[0], 3)
    fetcher.observe_revision(peers[1], 2)
    await asyncio.sleep(RESPONSE_TIMEOUT_SECONDS * 2)
    assert not any(peer.request_count for peer in peers)


async def test_newest_revision_is_requested_after_an_older_one(fetcher, feed, peers):
    fetcher.observe_revision(peers[0], 3)
    fetcher.observe_revision(peers[1], 4)
    await asyncio.sleep(0)
    feed.adopt(Document(revision=3).to_json(), "test")
    await asyncio.sleep(0)
    assert peers[1].request_count == 1
