"""What callers get when an upstream's answer or a sidecar's link ends early."""

import asyncio
import json

import pytest
import pytest_asyncio

from wharf_standins.loopback import Loopback

STAGES = [{"name": "answer", "pool": "model", "idempotent": False}]
PIPELINES = {"ask": {"stages": STAGES}}
CUSTOMER = {"Customer": "acme"}
STREAM = CUSTOMER | {"Accept": "text/event-stream"}
LONG_SECONDS = 30.0
GRACE_SECONDS = 0.3
ANSWER_SECONDS = 5.0

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LINE = b'{"text": "part"}\n'
PART = b"%x\r\n%s\r\n" % (len(LINE), LINE)
WHOLE_ANSWERS = {
    "nothing": b"",
    "part of the head": b"HTTP/1.1 20",
    "head alone": HEAD + b"Content-Length: 9\r\n\r\n",
    "less than its length": HEAD + b'Content-Length: 9\r\n\r\n{"a"',
    "no length": HEAD + b'Connection: close\r\n\r\n{"a"',
    "no last chunk": CHUNKED + b'4\r\n{"a"\r\n',
    "part of a chunk": CHUNKED + b'9\r\n{"a"',
}
STREAMS = {
    "no last chunk": CHUNKED + PART,
    "no final line": CHUNKED + PART + b"0\r\n\r\n",
    "no length": HEAD + b"Connection: close\r\n\r\n" + LINE,
    "part of a line": HEAD + b'Connection: close\r\n\r\n{"te',
}


@pytest_asyncio.fixture
async def system():
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as running:
        yield running


@pytest_asyncio.fixture
async def answer_with(system):
    """Return a function that replaces the upstream by one that sends these bytes."""
    servers = []

    async def begin(answer):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        sidecar = system.sidecar_by_name["model-0"]
        sidecar.upstream._base_url = f"http://127.0.0.1:{port}"

    yield begin
    for server in servers:
        server.close()


async def ask(system, headers=CUSTOMER):
    url = f"{system.entry_url()}/v1/pipelines/ask"
    async with (
        asyncio.timeout(ANSWER_SECONDS),
        system.session.post(url, data="1", headers=headers) as response,
    ):
        return response.status, await response.text()


# Guards against an answer that ends early and reaches its caller as whole, as nothing
# or as not run.
@pytest.mark.parametrize("answer", WHOLE_ANSWERS.values(), ids=WHOLE_ANSWERS.keys())
async def test_answer_that_ends_early_is_refused(answer, system, answer_with):
    await answer_with(answer)
    status, text = await ask(system)
    assert (status, json.loads(text)["ran"]) == (502, "unknown")


# Guards against a stream that ends early and reaches its caller without an error event.
@pytest.mark.parametrize("answer", STREAMS.values(), ids=STREAMS.keys())
async def test_stream_that_ends_early_is_refused(answer, system, answer_with):
    await answer_with(answer)
    status, text = await ask(system, STREAM)
    if status == 200:
        kind, text = text.strip().split("\n\n")[-1].split("\ndata: ")
        assert kind == "event: error"
    assert json.loads(text)["ran"] == "unknown"


# Guards against a call without an answer when its sidecar's stop spends its grace.
async def test_call_cut_by_the_stop_of_its_sidecar_may_have_run(system):
    engine = system.engine_by_name["model-0"]
    engine.batch.service_time = LONG_SECONDS
    sidecar = system.sidecar_by_name["model-0"]
    update = {"stop_grace": GRACE_SECONDS}
    sidecar.settings = sidecar.settings.model_copy(update=update)
    asked = asyncio.create_task(ask(system))
    async with asyncio.timeout(ANSWER_SECONDS):
        while not engine.runs:
            await asyncio.sleep(0.005)
    system.killed.append(sidecar)
    await asyncio.wait_for(sidecar.stop(), ANSWER_SECONDS)
    status, text = await asked
    refusal = json.loads(text)
    assert (status, refusal["error"], refusal["ran"]) == (502, "link_lost", "unknown")
    assert len(engine.runs) == 1


# Guards against a call without an answer when its link is reset.
async def test_call_on_a_lost_link_may_have_run(system):
    engine = system.engine_by_name["model-0"]
    engine.batch.service_time = LONG_SECONDS
    asked = asyncio.create_task(ask(system))
    async with asyncio.timeout(ANSWER_SECONDS):
        while not engine.runs:
            await asyncio.sleep(0.005)
    [link] = system.entries[0].links.by_address.values()
    link._socket.transport.abort()
    status, text = await asked
    refusal = json.loads(text)
    assert (status, refusal["error"], refusal["ran"]) == (502, "link_lost", "unknown")


# Guards against a call that an error in its sidecar leaves without a frame until the
# deadline.
async def test_call_that_an_error_ends_is_answered_at_once(system):
    sidecar = system.sidecar_by_name["model-0"]

    async def fail(call):
        raise RuntimeError(call.attempt)
        yield

    sidecar.upstream.run = fail
    status, text = await ask(system)
    refusal = json.loads(text)
    assert (status, refusal["error"], refusal["ran"]) == (500, "internal", "unknown")
    assert sidecar.limiter.in_flight == 0
