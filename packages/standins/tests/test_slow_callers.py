"""Callers that read their stream slowly."""

import asyncio
import json
import socket

import pytest_asyncio

from wharf_standins.loopback import Loopback

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
SMALL_BUFFER_BYTES = 4 << 10
# More than the buffers on the way to a caller hold.
LARGE_BYTES = 500 << 10
DEADLINE_SECONDS = 0.5
ANSWER_SECONDS = 10.0


@pytest_asyncio.fixture
async def system():
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as running:
        yield running


async def until(condition):
    async with asyncio.timeout(ANSWER_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


# Guards against a stream that is cut in place of its error event, and counted as
# unanswered, since its caller was slow to read when the deadline passed.
async def test_slow_caller_gets_the_error_event_at_its_deadline(system):
    entry = system.entries[0]
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.connect(("127.0.0.1", entry.port))
    caller.setblocking(False)
    server = entry._callers._runner.server
    await until(lambda: server.connections)
    end = server.connections[-1].transport.get_extra_info("socket")
    end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    # The stand-in repeats the input in its first part and goes on after the deadline.
    engine = system.engine_by_name["model-0"]
    engine.batch.service_time = DEADLINE_SECONDS
    engine.tokens = 2
    body = json.dumps("x" * LARGE_BYTES).encode()
    head = (
        "POST /v1/pipelines/ask HTTP/1.1\r\nHost: e\r\nCustomer: acme\r\n"
        f"Deadline-Seconds: {DEADLINE_SECONDS}\r\nAccept: text/event-stream\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    await asyncio.get_running_loop().sock_sendall(caller, head.encode() + body)
    await asyncio.sleep(2 * DEADLINE_SECONDS)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LARGE_BYTES)
    reader, writer = await asyncio.open_connection(sock=caller)
    answer = await asyncio.wait_for(reader.read(), ANSWER_SECONDS)
    writer.close()
    assert answer.endswith(b"\r\n0\r\n\r\n")
    assert b"event: error" in answer
    assert b'"error": "deadline_passed", "ran": "unknown"' in answer
    assert not entry.unanswered_by_reason
