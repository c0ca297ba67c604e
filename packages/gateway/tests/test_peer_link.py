"""Preparations at a peer that stops, becomes unresponsive or responds late."""

import asyncio
from dataclasses import dataclass, field

import cbor2
import pytest
from result import Err, Ok

from wharf_gateway.model.step import Step
from wharf_gateway.peers.codec import decode, encode
from wharf_gateway.peers.messages import (
    Abandon,
    Free,
    Greeting,
    LoadNotice,
    Prepare,
    Prepared,
    Refused,
    StoreNews,
)
from wharf_gateway.peers.peer_link import PEER_TIMEOUT_SECONDS, PeerLink
from wharf_gateway.stages.preparation import Preparation
from wharf_gateway.stages.preparation_failure import PREPARER_FAILED

PREPARATION = Preparation("r1", (Step("s", (), 10),), (1,), "k", 0, 9.0, 9.0)


@dataclass
class Socket:
    """A fake socket: `send` records messages, `receive` delivers a peer's messages."""

    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)
    sent: list = field(default_factory=list)

    def __aiter__(self):
        return self

    async def __anext__(self):
        return encode(await self.inbox.get())

    async def send(self, frame):
        self.sent.append(decode(frame).unwrap())

    async def receive(self, *messages):
        for message in messages:
            self.inbox.put_nowait(message)
        await asyncio.sleep(0.01)


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
async def socket():
    return Socket()


@pytest.fixture
async def link(socket, clock):
    link = PeerLink(socket, None, None, lambda: clock[0])
    task = asyncio.create_task(link.run(Greeting("me", "dc-1"), lambda link: None))
    await socket.receive(Greeting("other", "dc-2"), LoadNotice(True, {}))
    yield link
    task.cancel()


async def test_a_stopping_peer_finishes_its_pending_preparations(link, socket):
    task = asyncio.create_task(link.prepare(PREPARATION, "everywhere"))
    await asyncio.sleep(0.01)
    await socket.receive(LoadNotice(False, {}))

    link.fail_if_unresponsive()
    await socket.receive(Prepared(0, ("h1",)))

    assert not link.is_available(0.0)
    assert await task == Ok(["h1"])


async def test_an_unresponsive_peer_is_told_to_cancel(link, socket, clock):
    task = asyncio.create_task(link.prepare(PREPARATION, "everywhere"))
    await asyncio.sleep(0.01)
    clock[0] = PEER_TIMEOUT_SECONDS + 0.1

    assert link.fail_if_unresponsive()
    assert isinstance(await task, Err)
    await asyncio.sleep(0.01)
    assert socket.sent[-1] == Abandon(0)


async def test_results_that_arrive_too_late_are_released_by_the_peer(link, socket):
    """Otherwise they occupy memory until they expire, as happened in an incident."""
    task = asyncio.create_task(link.prepare(PREPARATION, "everywhere"))
    await asyncio.sleep(0.01)
    task.cancel()
    await socket.receive(Prepared(0, ("h1", "h2")))

    assert any(isinstance(message, Prepare) for message in socket.sent)
    assert socket.sent[-1] == Free("everywhere", ("h1", "h2"))


class Feed:
    """Record notices."""

    def __init__(self):
        self.notices = []

    def handle_notice(self, name, era, revision_by_kind, now):
        self.notices.append((name, era, revision_by_kind))


async def test_the_feed_hears_of_each_peers_era(socket, clock):
    feed = Feed()
    link = PeerLink(socket, None, None, lambda: clock[0], feed=feed)
    task = asyncio.create_task(link.run(Greeting("me", "dc-1"), lambda link: None))
    await socket.receive(
        Greeting("other", "dc-2"),
        LoadNotice(True, {}),
        LoadNotice(True, {}, store_era=4),
        LoadNotice(True, {}, 0.5, {"entries": 9}),
    )
    task.cancel()

    assert feed.notices == [("other", 4, {}), ("other", None, {"entries": 9})]


# Guards against links that break while gateways are restarted with a new version.
@pytest.mark.parametrize(
    ("message", "field"),
    [
        (LoadNotice(True, {}, 0.5, {"entries": 9}, 4), "store_era"),
        (StoreNews("entries", 7, 9, (), 4), "era"),
    ],
)
def test_gateways_without_eras_are_understood(message, field):
    fields = cbor2.loads(encode(message))
    assert fields.pop(field) == 4

    older = decode(cbor2.dumps(fields)).unwrap()
    newer = decode(cbor2.dumps(fields | {"unknown_field": 1})).unwrap()

    assert getattr(older, field) is None
    assert older == newer


class FailingPreparers:
    """Preparers in which each preparation ends by an error."""

    def preparer(self, pool):
        return self

    async def run(self, preparation):
        raise KeyError("service")


# Guards against a request that waits until its deadline for a preparer in which an
# error has ended its preparation.
async def test_preparation_that_ends_by_an_error_is_refused_at_once(socket, clock):
    link = PeerLink(socket, FailingPreparers(), None, lambda: clock[0])
    task = asyncio.create_task(link.run(Greeting("me", "dc-1"), lambda link: None))
    step = Step("s", (), 10)
    await socket.receive(
        Greeting("other", "dc-2"),
        Prepare(7, "everywhere", "r1", (step,), (1,), "k", 0, 9.0, 9.0, ""),
    )
    task.cancel()

    assert socket.sent[-1] == Refused(7, PREPARER_FAILED, 0.5)
