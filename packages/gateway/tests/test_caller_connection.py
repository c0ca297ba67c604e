"""Parsing of callers' requests, limits and rejected input."""

import asyncio

import pytest

from wharf_gateway.http.headers import Headers
from wharf_gateway.http_server import HttpServer
from wharf_gateway.model.caller_limits import CallerLimits

LIMITS = CallerLimits(500, 20, header_timeout=0.2, idle_timeout=0.3)


@pytest.fixture
async def site():
    """A server that responds with the request's method, target and body."""

    async def handle(request, responder):
        await request.body_complete.wait()
        if request.too_large:
            responder.answer(413)
            return
        text = f"{request.method} {request.target} ".encode() + bytes(request.body)
        responder.answer(200, Headers(), text)

    site = HttpServer("127.0.0.1:0", LIMITS, handle)
    await site.start()
    yield site
    site.stop_accepting()


@pytest.fixture
async def exchange(site):
    """Send bytes and return all that is received until the connection closes."""

    async def run(*parts):
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        async with asyncio.timeout(2):
            data = await reader.read()
        writer.close()
        return data

    return run


async def test_requests_on_one_connection_are_answered_in_order(exchange):
    data = await exchange(
        b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
    )

    assert data.index(b"GET /a") < data.index(b"GET /b")
    assert data.count(b"200 OK") == 2


async def test_a_chunked_body_is_joined(exchange):
    data = await exchange(
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"3;x=y\r\nabc\r\n",
        b"2\r\nde\r\n0\r\n\r\n",
    )

    assert b"POST /a abcde" in data


async def test_a_request_inside_a_body_is_not_run(exchange):
    inner = b"GET /x HTTP/1.1\r\n\r\n"
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(inner)

    data = await exchange(head + inner)

    assert data.count(b"HTTP/1.1 200 OK") == 1


async def test_a_request_with_both_length_and_chunked_coding_is_rejected(exchange):
    data = await exchange(
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"
    )

    assert b"200 OK" not in data


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ([b"GET / HTTP/1.1\r\nA: " + b"a" * 600], b"431"),
        ([b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n"], b"413"),
        ([b"GET / HT"], b"408"),
        ([b"\x00\x01\r\n\r\n"], b"400"),
    ],
)
async def test_bad_input_is_rejected_and_the_connection_closed(exchange, parts, status):
    assert (await exchange(*parts)).startswith(b"HTTP/1.1 " + status)


async def test_a_stopping_site_says_that_it_closes(site, exchange):
    site.closing = True

    assert b"Connection: close" in await exchange(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
