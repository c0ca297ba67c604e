"""Fixtures: a peer that sends and receives raw messages of the link protocol."""

from contextlib import asynccontextmanager

import pytest
from websockets.asyncio.client import connect

from wharf_coordination import Priority
from wharf_wire import Call, Hello, decode, encode

ENTRY_HELLO = Hello("entry-x", "dc-1", 0)


class Peer:
    """One end of a link, without any protocol logic."""

    def __init__(self, socket):
        self.socket = socket

    async def send(self, message):
        await self.socket.send(encode(message))

    async def receive(self, *kinds):
        """Return the next message of one of the types."""
        while True:
            message = decode(await self.socket.recv()).unwrap()
            if isinstance(message, kinds):
                return message


@pytest.fixture
def entry_peer():
    """Return a function that opens a link to a sidecar as an entry does."""

    @asynccontextmanager
    async def link(port, hello=ENTRY_HELLO):
        async with connect(f"ws://127.0.0.1:{port}", proxy=None) as socket:
            peer = Peer(socket)
            if hello:
                await peer.send(hello)
            yield peer

    return link


@pytest.fixture
def make_call():
    """Return a function that builds a call; keyword arguments override its fields."""

    def make(attempt, **fields):
        defaults = {
            "request": "r",
            "pipeline": "ask",
            "stage": "answer",
            "customer": "acme",
            "version": "1",
            "priority": Priority.STANDARD,
            "time_left": 5.0,
            "idempotent": True,
            "streaming": False,
            "body": b'{"input": 1, "stages": {}}',
            "revision": 0,
        }
        return Call(attempt=attempt, **(defaults | fields))

    return make
