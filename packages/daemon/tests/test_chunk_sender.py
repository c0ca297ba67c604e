"""Batching of an answer's parts into frames."""

import asyncio
from types import SimpleNamespace

import pytest

from wharf_coordination import chunk_cost
from wharf_coordination.flow_window import WINDOW_BYTES
from wharf_daemon.sidecar.chunk_sender import ChunkSender
from wharf_wire.limits import MAX_PARTS_PER_CHUNK

LONG_INTERVAL_SECONDS = 60.0
SHORT_INTERVAL_SECONDS = 0.01
CALL = SimpleNamespace(attempt="a", resume_from=3)


@pytest.fixture
def sent():
    return []


@pytest.fixture
def make_sender(sent):
    async def send(chunk):
        sent.append(chunk)

    return lambda gather_seconds: ChunkSender(CALL, send, gather_seconds)


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.001)


async def test_first_part_is_sent_at_once_and_the_rest_together(make_sender, sent):
    sender = make_sender(LONG_INTERVAL_SECONDS)
    for body in (b"0", b"1", b"2"):
        await sender.add(body)
    assert [chunk.bodies for chunk in sent] == [(b"0",)]
    await sender.flush()
    assert [chunk.bodies for chunk in sent] == [(b"0",), (b"1", b"2")]
    assert [chunk.sequence for chunk in sent] == [3, 4]
    assert sender.sequence == 6


async def test_single_queued_part_is_sent_after_the_interval(make_sender, sent):
    sender = make_sender(SHORT_INTERVAL_SECONDS)
    await sender.add(b"0")
    await sender.add(b"1")
    await wait_until(lambda: len(sent) == 2)


async def test_full_frame_is_sent_at_once(make_sender, sent):
    sender = make_sender(LONG_INTERVAL_SECONDS)
    for _ in range(1 + MAX_PARTS_PER_CHUNK):
        await sender.add(b"x")
    assert [len(chunk.bodies) for chunk in sent] == [1, MAX_PARTS_PER_CHUNK]


async def test_parts_wait_for_credit(make_sender, sent):
    sender = make_sender(0.0)
    body = bytes(50_000)
    parts_in_window = 1 + WINDOW_BYTES // chunk_cost(body)
    adding = asyncio.create_task(add_all(sender, [body] * (parts_in_window + 2)))
    await wait_until(lambda: len(sent) == parts_in_window)
    await asyncio.sleep(0)
    assert not adding.done()
    sender.credit(WINDOW_BYTES)
    await adding
    assert sum(len(chunk.bodies) for chunk in sent) == parts_in_window + 2


async def test_closed_sender_drops_queued_parts(make_sender, sent):
    sender = make_sender(SHORT_INTERVAL_SECONDS)
    await sender.add(b"0")
    await sender.add(b"1")
    sender.close()
    await asyncio.sleep(2 * SHORT_INTERVAL_SECONDS)
    assert len(sent) == 1


async def add_all(sender, bodies):
    for body in bodies:
        await sender.add(body)
