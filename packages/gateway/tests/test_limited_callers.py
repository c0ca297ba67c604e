"""Limits on what callers send, and requests that offer another protocol."""

import asyncio

import pytest

from wharf_gateway.http.byte_budget import ByteBudget
from wharf_gateway.http.caller_guard import CallerGuard
from wharf_gateway.http.headers import Headers
from wharf_gateway.http_server import HttpServer
from wharf_gateway.model.caller_limits import CallerLimits

LIMITS = CallerLimits(2000, 100_000, header_timeout=3.0, idle_timeout=3.0)
CAPACITY = 100_000
LARGE_BYTES = 16 << 20  # more than the sockets' buffers hold
BODY = b"x" * 30_000
CHUNKED = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"


class Site:
    """A server that answers with the size of each body, unless it is refused."""

    def __init__(self):
        self.seen = []
        self.causes = []
        self.budget = ByteBudget(CAPACITY, stall_seconds=0.1)
        guard = CallerGuard(
            self.budget,
            max_connections=8,
            max_header_lines=20,
            record=lambda cause, connection: self.causes.append(cause),
        )
        self.server = HttpServer("127.0.0.1:0", LIMITS, self.handle, guard=guard)

    async def handle(self, request, responder):
        await request.body_complete.wait()
        if request.retry_after is not None:
            responder.answer(503)
            return
        if request.too_large:
            responder.answer(413)
            return
        if request.path == "/large":
            responder.answer(200, Headers(), bytes(LARGE_BYTES))
            return
        self.seen.append(bytes(request.body))
        responder.answer(200, Headers(), str(len(request.body)).encode())


@pytest.fixture
async def site():
    site = Site()
    await site.server.start()
    yield site
    site.server.stop_accepting()


@pytest.fixture
async def call(site):
    """Open a connection, send bytes, and return the connection's streams."""
    writers = []

    async def start(data):
        reader, writer = await asyncio.open_connection("127.0.0.1", site.server.port)
        writers.append(writer)
        writer.write(data)
        await asyncio.sleep(0.03)
        return reader, writer

    yield start
    for writer in writers:
        writer.close()
    await asyncio.sleep(0.03)


async def status(reader):
    async with asyncio.timeout(2):
        return (await reader.readline()).split()[1]


def post(body, *lines):
    head = "\r\n".join(("POST /a HTTP/1.1", *lines, f"Content-Length: {len(body)}"))
    return f"{head}\r\n\r\n".encode() + body


# Guards against a refused request that runs, or whose connection hangs.
async def test_body_that_finds_no_memory_is_refused_and_not_run(site, call):
    site.budget.stall_seconds = 60.0  # a pause of this process is no stall
    await call(post(BODY)[:-1])
    reader, _ = await call(post(BODY)[:-1])

    assert await status(reader) == b"503"
    assert site.seen == []
    small, _ = await call(post(b"abc"))
    assert await status(small) == b"200"
    async with asyncio.timeout(4):
        await reader.read()


# Guards against clients that keep what they hold after they stopped sending.
async def test_stalled_body_makes_room_for_another(site, call):
    stalled, _ = await call(post(BODY)[:-1])
    await asyncio.sleep(0.1)
    reader, _ = await call(post(BODY))

    assert await status(reader) == b"200"
    assert await status(stalled) == b"503"
    assert site.seen == [BODY]


# Guards against responses that are held for clients that never read them, also while
# the connection is about to close.
@pytest.mark.parametrize("line", [b"Connection: close\r\n", b"Connection: a\r\n"])
async def test_response_that_is_not_read_makes_room_for_another(site, call, line):
    await call(b"GET /large HTTP/1.1\r\n" + line + b"\r\n")
    assert site.budget.used > CAPACITY
    await asyncio.sleep(0.1)
    reader, _ = await call(post(BODY))

    assert await status(reader) == b"200"
    assert site.budget.used < CAPACITY


# Guards against memory that stays reserved after an exchange.
@pytest.mark.parametrize(
    "data",
    [
        post(BODY),
        post(BODY)[:-1],
        post(BODY)[:20],
        post(b"x" * 100_001),
        post(b"") * 50,
        post(b"") * 20 + post(BODY)[:-1],
        CHUNKED + b"\r\n",
        CHUNKED + b"a: b\r\n",
        CHUNKED[:-3] + b"no size\r\n",
        b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 21,
        b"GET / HTTP/1.1\r\na: " + b"b" * 2000,
        b"\x00\r\n\r\n",
    ],
)
async def test_all_memory_is_released_as_the_exchange_ends(site, call, data):
    reader, writer = await call(data)
    writer.close()
    async with asyncio.timeout(2):
        while site.server.connections:
            await asyncio.sleep(0.01)

    assert site.budget.used == 0


# Guards against trailers that grow without end, and against the refusal of legal ones.
@pytest.mark.parametrize(
    ("trailers", "expected"),
    [
        (b"a: b\r\n\r\n", b"200"),
        (b"a: b\r\n" * 30, b"431"),
        (b"a: " + b"b" * 3000, b"431"),
        (b"a" * 3000, b"431"),
    ],
)
async def test_trailers_have_the_limits_of_a_head(call, trailers, expected):
    reader, _ = await call(CHUNKED + trailers)

    assert await status(reader) == expected


# Guards against a body in tiny chunks that is taken for endless trailers.
async def test_many_small_chunks_are_no_head(site, call):
    head = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    reader, _ = await call(head + b"1;x=y\r\nz\r\n" * 4000 + b"0\r\n\r\n")

    assert await status(reader) == b"200"
    assert site.seen == [b"z" * 4000]


# Guards against idle connections that hold the last body, whose bytes were released.
async def test_body_is_dropped_once_it_is_answered(site, call):
    reader, _ = await call(post(BODY))

    assert await status(reader) == b"200"
    assert [c._request.body for c in site.server.connections] == [b""]
    assert site.budget.used == 0


async def test_head_with_too_many_lines_is_refused(call):
    reader, _ = await call(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 21 + b"\r\n")

    assert await status(reader) == b"431"


# Guards against requests that are lost, as more of them are sent than are read ahead.
async def test_long_series_of_requests_is_answered_in_order(site, call):
    series = b"".join(post(b"x" * number) for number in range(60))
    reader, writer = await call(series)
    async with asyncio.timeout(2):
        data = await reader.read(1 << 16)
        while data.count(b"200 OK") < 60:
            data += await reader.read(1 << 16)

    assert site.seen == [b"x" * number for number in range(60)]


# Guards against connections that take the descriptors which upstreams need.
async def test_idle_connection_is_closed_for_a_new_one(site, call):
    first, _ = await call(b"")
    await asyncio.sleep(0.1)
    for _ in range(7):
        await call(b"")
    reader, _ = await call(post(b"abc"))

    assert await status(reader) == b"200"
    assert await first.read() == b""
    assert site.causes == ["idle"]


# Guards against connections above the limit.
async def test_connections_over_the_limit_are_closed_while_others_are_new(site, call):
    await asyncio.gather(*(call(b"") for _ in range(30)))

    assert len(site.server.connections) <= 8
