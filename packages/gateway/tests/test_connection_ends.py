"""The end of each connection is counted by its cause, with the request that it cuts."""

import asyncio

import pytest
import structlog

from wharf_gateway.http.connection_end import ConnectionEnd
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.http_server import HttpServer
from wharf_gateway.model.caller_limits import CallerLimits

LIMITS = CallerLimits(500, 100, header_timeout=0.1, idle_timeout=0.1)
REQUEST = b"GET /x HTTP/1.1\r\n\r\n"


@pytest.fixture
async def end_of():
    """Play a caller against a handler; return why its connection ended, and the cut."""
    ends = []
    servers = []

    async def play(handle, act):
        server = HttpServer(
            "127.0.0.1:0",
            LIMITS,
            handle,
            on_end=lambda end, request: ends.append((end, request and request.path)),
        )
        servers.append(server)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        await act(server, reader, writer)
        async with asyncio.timeout(3):
            while not ends:
                await asyncio.sleep(0.01)
        writer.close()
        return ends

    yield play
    for server in servers:
        server.stop_accepting()


async def answer(request, responder):
    responder.answer(200)


async def never_answer(request, responder):
    await asyncio.Event().wait()


async def reset_midway(request, responder):
    responder.begin(200, Headers())
    await responder.send(b"x")
    responder.abort()


async def ask(server, reader, writer):
    writer.write(REQUEST)
    await asyncio.sleep(0.02)


async def ask_and_leave(server, reader, writer):
    await ask(server, reader, writer)
    writer.close()


async def ask_and_reset(server, reader, writer):
    await ask(server, reader, writer)
    writer.transport.abort()


async def ask_a_stopping_server(server, reader, writer):
    server.closing = True
    await ask(server, reader, writer)
    writer.close()


async def ask_and_see_the_stop(server, reader, writer):
    await ask(server, reader, writer)
    server.close_idle()


@pytest.mark.parametrize(
    ("handle", "act", "end", "cut"),
    [
        (answer, ask, ConnectionEnd.IDLE, None),
        (answer, ask_and_leave, ConnectionEnd.CALLER, None),
        (answer, ask_a_stopping_server, ConnectionEnd.LAST_RESPONSE, None),
        (answer, ask_and_see_the_stop, ConnectionEnd.STOPPING, None),
        (never_answer, ask_and_leave, ConnectionEnd.CALLER, "/x"),
        (reset_midway, ask, ConnectionEnd.CUT, "/x"),
    ],
)
async def test_end_of_a_connection_names_its_cause_and_the_request_that_it_cuts(
    end_of, handle, act, end, cut
):
    # Guards against cut requests that no figure tells from those whose caller left.
    assert await end_of(handle, act) == [(end, cut)]


async def test_connection_that_its_caller_resets_names_the_request(end_of):
    ends = await end_of(never_answer, ask_and_reset)

    assert [cut for _, cut in ends] == ["/x"]
    assert ends[0][0] in (ConnectionEnd.CALLER, ConnectionEnd.LOST)


async def test_gateway_counts_ends_and_logs_the_request_that_was_cut(gateway):
    headers = Headers((("Vanillawharf-Attempt-Id", "r1"),))
    request = InboundRequest("GET", "/", headers, asyncio.get_running_loop().time())

    with structlog.testing.capture_logs() as lines:
        gateway.record_end(ConnectionEnd.IDLE, None)
        gateway.record_end(ConnectionEnd.CUT, request)

    assert [(x["event"], x["request"], x["end"]) for x in lines] == [
        ("connection_cut", "r1", "cut")
    ]
    counts = gateway.meter.count_by_name["wharf_connection_ends"]
    assert counts == {("idle", "no"): 1, ("cut", "yes"): 1}
