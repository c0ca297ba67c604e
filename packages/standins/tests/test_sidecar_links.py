"""The sidecar's end of a link, against an entry simulated by the test."""

import asyncio
import json
from collections import Counter

import cbor2
import pytest
import pytest_asyncio
from websockets.exceptions import ConnectionClosed

from wharf_coordination import Code, Ran, chunk_cost
from wharf_coordination.flow_window import WINDOW_BYTES
from wharf_standins.engine import Engine
from wharf_standins.loopback import Loopback
from wharf_wire import (
    MAX_FRAME_BYTES,
    Cancel,
    Chunk,
    ConfigurationOffer,
    ConfigurationRequest,
    Credit,
    End,
    Failed,
    Hello,
    Load,
    RevisionNotice,
    encode,
)

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
LONG_SECONDS = 30.0
QUICK_CALLS = 20

OTHER_PROTOCOL = cbor2.dumps(
    {"kind": "hello", "name": "e", "data_centre": "d", "revision": 0, "protocol": 2}
)
BAD_FRAMES = {
    "not CBOR": b"\xff\xff",
    "text": "text",
    "unknown kind": cbor2.dumps({"kind": "steal"}),
    "missing fields": cbor2.dumps({"kind": "call"}),
    "other protocol": OTHER_PROTOCOL,
    "oversized": b"\x00" * (MAX_FRAME_BYTES + 1),
    "unexpected": encode(Load(0, 1, 0.0, False, "", 0)),
}


@pytest_asyncio.fixture
async def system():
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as running:
        yield running


@pytest.fixture
def sidecar(system):
    return system.sidecar_by_name["model-0"]


@pytest.fixture
def engine(system) -> Engine:
    return system.engine_by_name["model-0"]


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def until_closed(peer):
    with pytest.raises(ConnectionClosed):
        while True:
            await asyncio.wait_for(peer.socket.recv(), 10)


async def read_response(peer):
    """Return the response body of the only running attempt, and its last frame."""
    text = b""
    while True:
        frame = await asyncio.wait_for(peer.receive(Chunk, End, Failed), 10)
        if not isinstance(frame, Chunk):
            return text, frame
        text += frame.body


@pytest.mark.parametrize("frame", BAD_FRAMES.values(), ids=BAD_FRAMES.keys())
async def test_bad_frame_is_counted_and_closes_only_its_link(
    frame, sidecar, entry_peer, make_call
):
    async with entry_peer(sidecar.port) as good, entry_peer(sidecar.port) as bad:
        await bad.socket.send(frame)
        await until_closed(bad)
        await good.send(make_call("a"))
        text, last = await read_response(good)
    assert (json.loads(text)["echo"], type(last)) == (1, End)
    assert sidecar.metrics.bad_messages._value.get() == 1


async def test_call_before_hello_closes_the_link(
    sidecar, engine, entry_peer, make_call
):
    async with entry_peer(sidecar.port, hello=None) as peer:
        await peer.send(make_call("a"))
        await until_closed(peer)
    assert engine.runs == []


async def test_duplicate_call_runs_once_over_any_link(
    sidecar, engine, entry_peer, make_call
):
    call = make_call("a", idempotent=False)
    async with entry_peer(sidecar.port) as first, entry_peer(sidecar.port) as second:
        await first.send(call)
        await first.send(call)
        await read_response(first)
        await second.send(call)
        await second.send(make_call("b"))
        await read_response(second)
    assert [run.attempt for run in engine.runs] == ["a", "b"]
    assert sidecar.metrics.dropped_frames._value.get() == 2


def cost_of(chunk):
    return sum(map(chunk_cost, chunk.bodies))


async def test_slow_reader_delays_only_its_own_attempts(
    sidecar, engine, entry_peer, make_call
):
    body = json.dumps({"input": "x" * 200_000, "stages": {}}).encode()
    engine.tokens = 2000
    engine.batch.service_time = 0.0
    async with entry_peer(sidecar.port) as peer:
        for attempt in ("slow-1", "slow-2"):
            await peer.send(make_call(attempt, body=body, streaming=True))
        started = set()
        while len(started) < 2:
            started.add((await asyncio.wait_for(peer.receive(Chunk), 10)).attempt)
        engine.tokens = 8
        sidecar.limiter.configure(4, 64)
        cost_by_attempt = Counter()
        for number in range(QUICK_CALLS):
            await peer.send(make_call(f"quick-{number}", streaming=True))
            while True:
                frame = await asyncio.wait_for(peer.receive(Chunk, End), 10)
                if isinstance(frame, End):
                    break
                cost_by_attempt[frame.attempt] += cost_of(frame)
            assert (frame.attempt, frame.count) == (f"quick-{number}", 8)
        max_cost = WINDOW_BYTES + chunk_cost(body)
        assert max(cost_by_attempt.values()) <= max_cost
        # The peer grants credit for each chunk as soon as it has read it.
        ended = []
        for attempt in ("slow-1", "slow-2"):
            await peer.send(Credit(attempt, WINDOW_BYTES))
        while len(ended) < 2:
            match await asyncio.wait_for(peer.receive(Chunk, End), 10):
                case Chunk() as chunk:
                    await peer.send(Credit(chunk.attempt, cost_of(chunk)))
                case End() as end:
                    ended.append((end.attempt, end.count))
    assert sorted(ended) == [("slow-1", 2000), ("slow-2", 2000)]


async def test_cancel_ends_the_run(sidecar, engine, entry_peer, make_call):
    engine.batch.service_time = LONG_SECONDS
    async with entry_peer(sidecar.port) as peer:
        await peer.send(make_call("a"))
        await until(lambda: engine.runs)
        await peer.send(Cancel("a"))
        await until(lambda: engine.runs[0].end and sidecar.limiter.in_flight == 0)
    assert not engine.runs[0].completed


async def test_deadline_ends_the_run(sidecar, engine, entry_peer, make_call):
    engine.batch.service_time = LONG_SECONDS
    async with entry_peer(sidecar.port) as peer:
        await peer.send(make_call("a", time_left=0.1))
        _, last = await read_response(peer)
        assert (last.code, last.ran) == (Code.DEADLINE_PASSED, Ran.UNKNOWN)
        await until(lambda: engine.runs[0].end and sidecar.limiter.in_flight == 0)


async def test_call_sent_before_notice_of_leaving_is_read_is_not_run(
    sidecar, engine, entry_peer, make_call
):
    async with entry_peer(sidecar.port) as peer:
        await until(lambda: len(sidecar.links) == 2)
        stop = asyncio.create_task(sidecar.stop())
        # The system's entry closes its link; the peer has not read the notice yet.
        await until(lambda: len(sidecar.links) == 1)
        await peer.send(make_call("a"))
        _, last = await read_response(peer)
        assert (last.code, last.ran) == (Code.UPSTREAM_LEAVING, Ran.NO)
        assert not stop.done()
    await asyncio.wait_for(stop, 10)
    assert engine.runs == []


async def test_newer_configuration_is_offered_to_an_outdated_peer(sidecar, entry_peer):
    hello = Hello("entry-x", "dc-1", 0)
    async with entry_peer(sidecar.port, hello) as peer:
        notice = await asyncio.wait_for(peer.receive(RevisionNotice), 10)
        await peer.send(ConfigurationRequest())
        offer = await asyncio.wait_for(peer.receive(ConfigurationOffer), 10)
    assert notice.revision == offer.revision
    assert offer.revision == sidecar.feed.document.revision
