"""Many small pieces of callers or upstreams don't hold up other callers."""

import asyncio

import pytest

from wharf_gateway.caller_limit_settings import caller_guard
from wharf_gateway.http.byte_budget import ByteBudget
from wharf_gateway.http.caller_guard import CallerGuard
from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.http.headers import Headers
from wharf_gateway.http_server import HttpServer
from wharf_gateway.model.caller_limits import CallerLimits

LIMITS = CallerLimits(2000, 1 << 20, header_timeout=5.0, idle_timeout=5.0)
CROWD = 20
PIECES = 20_000
PIECE = b"1\r\nx\r\n"
# What all callers together may have parsed between two turns of the event loop.
MOST_PIECES_IN_A_TURN = 10_000


class Crowd:
    """Callers that have sent bodies in tiny chunks, without an end."""

    def __init__(self):
        self.requests = []
        self.server = HttpServer("127.0.0.1:0", LIMITS, self.handle)
        self._writers = []

    async def handle(self, request, responder):
        if request.path == "/crowd":
            self.requests.append(request)
        await request.body_complete.wait()
        responder.answer(200, Headers(), bytes(request.body))

    @property
    def parsed(self):
        return sum(len(request.body) for request in self.requests)

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        self._writers.append(writer)
        return reader, writer

    async def send(self):
        """Send all bodies, and return the streams of their connections."""
        streams = [await self.connect() for _ in range(CROWD)]
        for _, writer in streams:
            writer.write(b"POST /crowd HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
        await until(lambda: len(self.requests) == CROWD)
        for _, writer in streams:
            writer.write(PIECE * PIECES)
        return streams

    async def ask(self):
        """Return the status of an ordinary request."""
        reader, writer = await self.connect()
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(60):
            return (await reader.readline()).split()[1]

    def close(self):
        self.server.stop_accepting()
        for writer in self._writers:
            writer.close()


@pytest.fixture
async def crowd():
    crowd = Crowd()
    await crowd.server.start()
    yield crowd
    crowd.close()
    await asyncio.sleep(0.03)


async def until(holds):
    """Wait until something holds."""
    async with asyncio.timeout(60):
        while not holds():
            await asyncio.sleep(0.01)


async def most_in_a_turn(count, until_count):
    """Return by how much `count()` grew most between two turns of the loop."""
    most, last = 0, count()
    async with asyncio.timeout(60):
        while last < until_count:
            await asyncio.sleep(0)
            most, last = max(most, count() - last), count()
    return most


# Guards against a crowd whose tiny chunks are parsed at once: ordinary requests got no
# answer within four seconds behind 300 bodies of 100,000 chunks.
async def test_pieces_of_a_crowd_are_parsed_over_many_turns(crowd):
    await crowd.send()

    most = await most_in_a_turn(lambda: crowd.parsed, CROWD * PIECES)

    assert most <= MOST_PIECES_IN_A_TURN


async def test_ordinary_request_is_answered_before_the_pieces_of_a_crowd(crowd):
    await crowd.send()

    assert await crowd.ask() == b"200"
    assert crowd.parsed < CROWD * PIECES / 2


async def test_body_in_tiny_chunks_arrives_whole(crowd):
    streams = await crowd.send()
    for _, writer in streams:
        writer.write(b"0\r\n\r\n")

    for reader, _ in streams:
        async with asyncio.timeout(60):
            head = await reader.readuntil(b"\r\n\r\n")
            assert f"Content-Length: {PIECES}".encode().lower() in head.lower()
            assert await reader.readexactly(PIECES) == b"x" * PIECES


# Guards against tiny events of a stream that each were written to the caller by itself,
# so that 20,000 that came together held up the event loop for 0.1 s.
async def test_parts_of_a_response_that_came_together_are_passed_on_together(
    raw_server,
):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + PIECE * 1000 + b"0\r\n\r\n")

    address = await raw_server(handle)
    connection = await ConnectionPool().acquire(address, 0.0)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", b"")
    await connection.head()
    parts = []
    while part := await connection.next_part():
        parts.append(part)
    connection.close()

    assert b"".join(parts) == b"x" * 1000
    assert len(parts) < 50


class Waiting:
    """A connection that waits for its turn, and fails in it if it has to."""

    def __init__(self, fails=False):
        self.fails = fails
        self.turns = 0

    def parse_waiting(self):
        self.turns += 1
        if self.fails:
            raise ValueError("broken")
        return 1


# Guards against a connection that fails and leaves all that wait behind it unread.
async def test_connections_go_on_after_one_of_them_has_failed():
    loop, errors = asyncio.get_running_loop(), []
    loop.set_exception_handler(lambda loop, context: errors.append(context))
    guard = CallerGuard(ByteBudget(1000, 1.0))
    waiting = [Waiting(), Waiting(fails=True), Waiting()]
    for connection in waiting:
        guard.wait_turn(connection, loop)
    await asyncio.sleep(0.01)
    guard.wait_turn(late := Waiting(), loop)
    await asyncio.sleep(0.01)

    assert [connection.turns for connection in (*waiting, late)] == [1, 1, 1, 1]
    assert len(errors) == 1


# Guards against a setting that has no effect, as an empty queue is false.
def test_pieces_of_a_turn_are_set(settings):
    settings = settings.model_copy(update={"pieces_per_turn": 80})
    guard = caller_guard(settings, None)

    assert (guard.turns.pieces, guard.turns.share) == (80, 10)
