"""Preparations asked of another gateway that stops, falls silent or answers late."""

import asyncio
from dataclasses import dataclass, field

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
)
from wharf_gateway.peers.peer_link import PEER_TIMEOUT_SECONDS, PeerLink
from wharf_gateway.stages.preparation import Preparation

PREPARATION = Preparation("r1", (Step("s", (), 10),), (1,), "k", 0, 9.0, 9.0)


@dataclass
class Socket:
    """A link's far end, played by hand."""

    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)
    sent: list = field(default_factory=list)

    def __aiter__(self):
        return self

    async def __anext__(self):
        return encode(await self.inbox.get())

    async def send(self, frame):
        self.sent.append(decode(frame).unwrap())

    async def say(self, *messages):
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
    await socket.say(Greeting("other", "dc-2"), LoadNotice(True, {}))
    yield link
    task.cancel()


async def test_a_stopping_gateway_finishes_what_it_was_asked_for(link, socket):
    asked = asyncio.create_task(link.prepare(PREPARATION, "everywhere"))
    await asyncio.sleep(0.01)
    await socket.say(LoadNotice(False, {}))

    link.fail_if_unresponsive()
    await socket.say(Prepared(0, ("h1",)))

    assert not link.is_available(0.0)
    assert await asked == Ok(["h1"])


async def test_a_silent_gateway_is_told_to_give_up(link, socket, clock):
    asked = asyncio.create_task(link.prepare(PREPARATION, "everywhere"))
    await asyncio.sleep(0.01)
    clock[0] = PEER_TIMEOUT_SECONDS + 0.1

    assert link.fail_if_unresponsive()
    assert isinstance(await asked, Err)
    await asyncio.sleep(0.01)
    assert socket.sent[-1] == Abandon(0)


async def test_results_that_come_too_late_are_dropped_where_they_are(link, socket):
    """Else they take up room until they lapse, as in the market's incident."""
    asked = asyncio.create_task(link.prepare(PREPARATION, "everywhere"))
    await asyncio.sleep(0.01)
    asked.cancel()
    await socket.say(Prepared(0, ("h1", "h2")))

    assert any(isinstance(message, Prepare) for message in socket.sent)
    assert socket.sent[-1] == Free("everywhere", ("h1", "h2"))
