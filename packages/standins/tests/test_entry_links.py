"""The entry's end of its links, against a sidecar simulated by the test."""

import asyncio
import json
import socket

import aiohttp
import pytest_asyncio
from websockets.asyncio.server import serve

from wharf_daemon import Entry, EntrySettings
from wharf_platform.configuration import Document, Folder
from wharf_standins.loopback import Loopback
from wharf_wire import (
    Call,
    Cancel,
    Chunk,
    End,
    Hello,
    Load,
    decode,
    encode,
)

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
EXCESS_CHUNKS = 400
SMALL_BUFFER_BYTES = 2048
NOT_UTF_8 = b"\xff"
UNREACHABLE_URL = "http://127.0.0.1:9"
CUSTOMER = {"Customer": "acme"}
STREAM = CUSTOMER | {"Accept": "text/event-stream"}


class FakeSidecar:
    """A sidecar whose frames the test sends explicitly."""

    def __init__(self, name):
        self.name = name
        self.calls = asyncio.Queue()
        self.cancelled = []

    async def serve(self, socket):
        self.socket = socket
        await self.send(Hello(self.name, "dc-1", 1), Load(0, 99, 0.0, False, "", 1))
        async for frame in socket:
            match decode(frame).unwrap():
                case Call() as call:
                    self.calls.put_nowait(call)
                case Cancel(attempt=attempt):
                    self.cancelled.append(attempt)

    async def send(self, *messages):
        for message in messages:
            await self.socket.send(encode(message))

    async def next_call(self):
        return await asyncio.wait_for(self.calls.get(), 10)


def complete_response(call, *, sequence=0):
    """Return the frames of a complete response that repeats the input."""
    body = json.dumps(json.loads(call.body)["input"]).encode()
    return Chunk(call.attempt, sequence, body), End(call.attempt, sequence + 1, 0.0)


@pytest_asyncio.fixture
async def sidecars():
    sidecar_by_name = {name: FakeSidecar(name) for name in ("model-0", "model-1")}
    servers = {
        name: await serve(sidecar.serve, "127.0.0.1", 0)
        for name, sidecar in sidecar_by_name.items()
    }
    for name, server in servers.items():
        sidecar_by_name[name].port = server.sockets[0].getsockname()[1]
    yield sidecar_by_name
    for server in servers.values():
        server.close()


@pytest_asyncio.fixture
async def entry(sidecars):
    upstreams = {
        name: {
            "pool": "model",
            "data_centre": "dc-1",
            "address": f"127.0.0.1:{sidecar.port}",
        }
        for name, sidecar in sidecars.items()
    }
    folder = {
        "data_centres": {"dc-1": {}},
        "customers": {"acme": {}},
        "pools": {"model": {}},
        "upstreams": upstreams,
        "pipelines": PIPELINES,
    }
    any_port = "127.0.0.1:0"
    running = Entry(
        EntrySettings(
            name="entry-0",
            data_centre="dc-1",
            listen=any_port,
            operators_listen=any_port,
            platform=UNREACHABLE_URL,
            drain_delay=0.0,
            stop_grace=1.0,
            seed=1,
        )
    )
    await running.start()
    document = Document(revision=1, folder=Folder.model_validate(folder))
    running.feed.adopt(document.to_json(), "test")
    await until(lambda: all(link.is_open for link in links(running)))
    assert len(links(running)) == 2
    yield running
    if not running.stopping:
        await running.stop()


def links(entry):
    return list(entry.links.by_address.values())


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


@pytest_asyncio.fixture
async def post(entry):
    """Return a function that starts a request as a task.

    The task returns the status and the text of the response.
    """
    tasks = []
    async with aiohttp.ClientSession() as session:

        async def ask(note, headers):
            url = f"http://127.0.0.1:{entry.port}/v1/pipelines/ask"
            async with session.post(url, json=note, headers=headers) as response:
                return response.status, await response.text()

        def begin(note, headers=CUSTOMER):
            tasks.append(asyncio.create_task(ask(note, headers)))
            return tasks[-1]

        yield begin
        for task in tasks:
            task.cancel()


async def next_calls(sidecars, count):
    """Return the next calls, each with the sidecar that received it."""
    pairs = []
    async with asyncio.timeout(10):
        while len(pairs) < count:
            for sidecar in sidecars.values():
                while not sidecar.calls.empty():
                    pairs.append((sidecar, sidecar.calls.get_nowait()))
            await asyncio.sleep(0.005)
    return pairs


async def test_late_and_duplicate_frames_reach_no_other_request(entry, sidecars, post):
    tasks = [post({"note": number}) for number in range(6)]
    pairs = await next_calls(sidecars, 6)
    for _, call in pairs:
        for sidecar in sidecars.values():
            # Each frame is sent over both links; one isn't the call's own link.
            chunk, end = complete_response(call)
            await sidecar.send(chunk, chunk, end, end, chunk)
    answers = await asyncio.wait_for(asyncio.gather(*tasks), 10)
    notes = [json.loads(text) for _, text in answers]
    assert notes == [{"note": number} for number in range(6)]
    assert entry.metrics.dropped_frames._value.get() > 0


async def test_chunk_out_of_order_fails_the_attempt_and_is_retried(sidecars, post):
    task = post({"note": 1})
    [(sidecar, call)] = await next_calls(sidecars, 1)
    await sidecar.send(Chunk(call.attempt, 1, b"2"), Chunk(call.attempt, 0, b"1"))
    [(other, again)] = await next_calls(sidecars, 1)
    assert (other is sidecar, again.attempt == call.attempt) == (False, False)
    await sidecar.send(*complete_response(call))
    await other.send(*complete_response(again))
    assert await asyncio.wait_for(task, 10) == (200, '{"note": 1}')
    await until(lambda: sidecar.cancelled == [call.attempt])


async def test_stream_with_wrong_count_ends_with_an_error(sidecars, post):
    task = post({"note": 1}, STREAM | {"Deadline-Seconds": "1"})
    for _ in sidecars:
        [(sidecar, call)] = await next_calls(sidecars, 1)
        chunk = Chunk(call.attempt, call.resume_from, b"part")
        await sidecar.send(chunk, End(call.attempt, 9, 0.0))
    status, text = await asyncio.wait_for(task, 10)
    assert status == 200
    assert "event: end" not in text
    assert text.strip().split("\n\n")[-1].startswith("event: error")


# Guards against a stream that ends without a closing event when its entry fails.
async def test_stream_that_an_error_breaks_ends_with_an_error_event(sidecars, post):
    task = post({"note": 1}, STREAM)
    [(sidecar, call)] = await next_calls(sidecars, 1)
    await sidecar.send(Chunk(call.attempt, 0, b"part"))
    await sidecar.send(Chunk(call.attempt, 1, NOT_UTF_8))
    status, text = await asyncio.wait_for(task, 10)
    kind, data = text.strip().split("\n\n")[-1].split("\n")
    refusal = json.loads(data.removeprefix("data: "))
    assert (status, kind) == (200, "event: error")
    assert (refusal["error"], refusal["ran"]) == ("internal", "unknown")


# Guards against a request that ends without an answer and isn't counted.
async def test_request_cut_by_the_stop_is_counted(entry, sidecars, post):
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.connect(("127.0.0.1", entry.port))
    head = b"POST /v1/pipelines/ask HTTP/1.1\r\nHost: e\r\nCustomer: acme\r\n"
    caller.send(head + b"Accept: text/event-stream\r\nContent-Length: 1\r\n\r\n1")
    [(sidecar, call)] = await next_calls(sidecars, 1)
    for sequence in range(EXCESS_CHUNKS):
        await sidecar.send(Chunk(call.attempt, sequence, b"x" * 60_000))
        await asyncio.sleep(0.002)
    await asyncio.wait_for(entry.stop(), 10)
    assert entry.unanswered_by_reason == {"process_ended": 1}
    counted = entry.metrics.unanswered_requests.labels("process_ended")
    assert counted._value.get() == 1
    caller.close()


# Guards against a caller that left and counts as unanswered.
async def test_caller_that_left_is_not_counted_as_unanswered(entry, sidecars, post):
    task = post({"note": 1})
    await next_calls(sidecars, 1)
    task.cancel()
    await until(lambda: not len(entry.requests))
    assert not entry.unanswered_by_reason
    assert not [*entry.metrics.unanswered_requests._metrics]
    left = entry.metrics.requests.labels("ask", "caller_left")
    assert left._value.get() == 1


async def test_bad_frame_closes_only_its_link(entry, sidecars, post):
    bad, good = sidecars.values()
    task = post({"note": 1})
    await next_calls(sidecars, 1)
    bad_link = entry.links.by_address[f"127.0.0.1:{bad.port}"]
    good_link = entry.links.by_address[f"127.0.0.1:{good.port}"]
    good_socket = good_link._socket
    await bad.socket.send(b"\xff")
    await asyncio.wait_for(bad.socket.wait_closed(), 10)
    assert good_link._socket is good_socket
    assert entry.metrics.bad_messages._value.get() == 1
    await until(lambda: bad_link.is_open)
    assert entry.metrics.links._value.get() == 2
    task.cancel()


async def test_exceeding_the_flow_window_ends_only_that_attempt(sidecars, post, entry):
    read = asyncio.Event()

    async def read_late():
        url = f"http://127.0.0.1:{entry.port}/v1/pipelines/ask"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json="flooded", headers=STREAM) as response,
        ):
            await read.wait()
            return await response.text()

    flooded = asyncio.create_task(read_late())
    [(sidecar, call)] = await next_calls(sidecars, 1)
    for sequence in range(EXCESS_CHUNKS):
        await sidecar.send(Chunk(call.attempt, sequence, b"x" * 60_000))
    quiet = post("quiet")
    read.set()
    by_note = {
        json.loads(call.body)["input"]: (sidecar, call)
        for sidecar, call in await next_calls(sidecars, 2)
    }
    other, own = by_note["quiet"]
    await other.send(*complete_response(own))
    assert await asyncio.wait_for(quiet, 10) == (200, '"quiet"')
    other, again = by_note["flooded"]
    assert 0 < again.resume_from < EXCESS_CHUNKS
    assert sidecar.cancelled == [call.attempt]
    await other.send(*complete_response(again, sequence=again.resume_from))
    text = await asyncio.wait_for(flooded, 10)
    assert text.endswith(f'event: end\ndata: {{"chunks": {again.resume_from + 1}}}\n\n')


async def test_client_disconnect_ends_the_run_at_the_upstream():
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as system:
        engine = system.engine_by_name["model-0"]
        engine.batch.service_time = 30.0
        url = f"{system.entry_url()}/v1/pipelines/ask"
        post = system.session.post(url, json=1, headers=CUSTOMER)
        task = asyncio.create_task(post.__aenter__())
        await until(lambda: engine.runs)
        task.cancel()
        await until(lambda: engine.runs[0].end)
        assert not engine.runs[0].completed


async def test_passed_deadline_ends_the_run_with_unknown_outcome():
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as system:
        engine = system.engine_by_name["model-0"]
        engine.batch.service_time = 30.0
        url = f"{system.entry_url()}/v1/pipelines/ask"
        headers = CUSTOMER | {"Deadline-Seconds": "0.2"}
        async with system.session.post(url, json=1, headers=headers) as response:
            refusal = await response.json()
        assert (response.status, refusal["code"], refusal["ran"]) == (
            504,
            3001,
            "unknown",
        )
        await until(lambda: engine.runs[0].end)
        assert not engine.runs[0].completed


async def test_stopping_entry_serves_requests_during_drain_delay():
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as system:
        [entry] = system.entries
        entry.settings = entry.settings.model_copy(update={"drain_delay": 0.5})
        stop = asyncio.create_task(entry.stop())
        await until(lambda: entry.stopping)
        ready = f"http://127.0.0.1:{entry.operators_port}/readyz"
        async with system.session.get(ready) as response:
            assert response.status == 503
        url = f"{system.entry_url()}/v1/pipelines/ask"
        async with system.session.post(url, json=1, headers=CUSTOMER) as response:
            assert response.status == 200
            assert response.headers["Connection"] == "close"
        await asyncio.wait_for(stop, 10)


async def test_leaving_sidecar_gets_no_call_and_its_link_is_closed(sidecars, post):
    sidecar, other = sidecars.values()
    await sidecar.send(Load(0, 99, 0.0, True, "", 1))
    await asyncio.wait_for(sidecar.socket.wait_closed(), 10)
    task = post(1)
    await other.send(*complete_response(await other.next_call()))
    assert (await asyncio.wait_for(task, 10))[0] == 200
