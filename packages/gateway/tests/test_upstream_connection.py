"""Complete, broken and unexpected responses of upstreams."""

import asyncio
import socket
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wharf_gateway.http.answer_limits import AnswerLimits
from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.http.unsolicited import Unsolicited
from wharf_gateway.http.upstream_connection import MAX_REQUESTS, UpstreamConnection

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
LONG_BODY = 16 << 20  # more than the buffers of both ends hold
FOREIGN = b"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nbad"


def _now():
    return asyncio.get_running_loop().time()


@pytest.fixture
async def ask(raw_server):
    """Send a request to an upstream that writes `parts`.

    Return the head and body of the response, and the connection.
    """
    pool = ConnectionPool()

    async def run(*parts, reset=False):
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
            if reset:
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

        address = await raw_server(handle)
        connection = await pool.acquire(address, _now())
        connection.send(REQUEST, b"", "Id", "1")
        head = await connection.head()
        return head, await connection.body(), connection

    yield run
    pool.close()


async def test_a_response_is_read_completely(ask):
    head, body, connection = await ask(ANSWER)

    assert (head.status, body) == (200, b"ok")
    assert connection.is_reusable


async def test_a_response_to_another_request_is_dropped(ask):
    _, body, connection = await ask(FOREIGN, ANSWER)

    assert body == b"ok"
    assert not connection.is_reusable


async def test_a_connection_with_data_after_a_response_is_not_reused(ask):
    _, body, connection = await ask(ANSWER + FOREIGN)

    assert body == b"ok"
    assert not connection.release(_now())


# Guards against a connection that is used again though bytes came after a response.
# These begin no further one, which alone would end its use.
async def test_a_connection_with_blank_lines_after_a_response_is_not_reused(ask):
    _, body, connection = await ask(ANSWER, b"\r\n")
    async with asyncio.timeout(5.0):
        while not connection._has_unsolicited:
            await asyncio.sleep(0.01)

    assert body == b"ok"
    assert not connection.release(_now())


async def test_a_response_without_length_ends_with_the_connection(ask):
    head = b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"

    _, body, _ = await ask(head, b"one ", b"two")

    assert body == b"one two"


async def test_a_response_without_length_fails_if_the_connection_is_reset(ask):
    with pytest.raises(HttpCallError):
        await ask(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", b"one", reset=True)


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"no response at all\r\n\r\n",
    ],
)
async def test_an_incomplete_or_invalid_response_fails(ask, part):
    with pytest.raises(HttpCallError):
        await ask(part)


@pytest.fixture
async def upload(raw_server):
    """Send a long body to an upstream that answers at once and ends its side.

    `read(reader)` is what the upstream does before it resets the connection.
    """
    pool = ConnectionPool()

    async def run(read, length=LONG_BODY):
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
            writer.write_eof()
            await read(reader)
            writer.transport.abort()

        connection = await pool.acquire(await raw_server(handle), _now())
        head = REQUEST.replace(b"\r\n\r\n", b"\r\nContent-Length: %d\r\n\r\n" % length)
        connection.send(head, bytes(length), "Id", "1")
        async with asyncio.timeout(5.0):
            await connection.head()
            return await connection.body()

    yield run
    pool.close()


# The kernel takes the shorter body at once, the upstream's host not the whole of it.
@pytest.mark.parametrize(("length", "is_told"), [(3 << 20, True), (LONG_BODY, False)])
async def test_response_is_cut_if_its_upstream_ends_and_then_resets_the_upload(
    upload, monkeypatch, length, is_told
):
    """The part that had come was taken for the whole."""
    if not is_told:
        module = "wharf_gateway.http.upstream_connection.unacknowledged_bytes"
        monkeypatch.setattr(module, lambda transport: 0)

    with pytest.raises(HttpCallError):
        await upload(lambda reader: asyncio.sleep(0.1), length)


async def test_response_is_whole_if_its_upstream_ends_and_then_reads_the_upload(upload):
    async def read(reader):
        await reader.readexactly(LONG_BODY)

    assert await upload(read) == b"part"


class Socketless(asyncio.Transport):
    """A transport that takes all data."""

    def get_extra_info(self, name, default=None):
        return default

    def write(self, data):
        pass

    def abort(self):
        pass


def _told_status(status, headers):
    """Return the status of the response to a request, None if it is broken."""
    connection = UpstreamConnection(AnswerLimits())
    connection._transport = Socketless()
    connection.send(REQUEST, b"", "Id", "1")
    line = f"HTTP/1.1 {status}\r\n{headers}\r\n\r\n"
    connection.data_received(line.encode("latin-1"))
    assert (connection._head is None) or connection._error is None
    return connection._head and connection._head.status


@given(
    st.integers(0, 9999).map(str)
    | st.from_regex(r"[0-9]{1,4}( [a-zA-Z ]{0,9})?", fullmatch=True)
    | st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=6)
)
def test_only_statuses_of_responses_are_told(status):
    """A status of 000 or 600 passed for one."""
    told = _told_status(status, "Id: 1\r\nContent-Length: 0")

    assert told is None or (200 <= told <= 599 and int(status[:3]) == told)


def test_each_status_of_a_response_is_told():
    fields = "Id: 1\r\nContent-Length: 0"
    told = {status: _told_status(f"{status:03} X", fields) for status in range(1000)}

    assert [status for status in told if told[status]] == list(range(200, 600))
    assert all(status == told[status] for status in range(200, 600))


def test_late_answer_without_a_status_tells_nothing_of_its_upstream():
    connection, heads = UpstreamConnection(AnswerLimits()), []
    connection._transport = Socketless()
    connection.on_late_head = heads.append
    connection.send(REQUEST, b"", "Id", "1")
    for status in (b"000", b"600", b"200"):
        late = b"HTTP/1.1 %s X\r\nId: 0\r\nContent-Length: 0\r\n\r\n" % status
        connection.data_received(late)

    assert [head.status for head in heads] == [200]


@pytest.mark.parametrize("is_ended_by_upstream", [True, False])
async def test_connection_that_is_about_to_close_is_not_reused(
    raw_server, is_ended_by_upstream
):
    # Guards against a request that is written to a connection which closes in the
    # same step, and that counts as sent.
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        await reader.read()
        writer.close()

    address, pool = await raw_server(handle), ConnectionPool()
    connection = await pool.acquire(address, _now())
    connection.send(REQUEST, b"", "Id", "1")
    await connection.head()
    await connection.body()
    pool.release(address, connection, _now())
    if is_ended_by_upstream:
        connection.eof_received()
    else:
        connection.data_received(b"unexpected")

    other = await pool.acquire(address, _now())
    is_reused = other is connection
    connection.close()
    other.close()

    assert not is_reused


async def test_connection_with_data_that_was_not_read_yet_is_not_reused():
    """Data that had arrived as a request was sent was taken for its response."""
    ends = []
    pool = ConnectionPool(on_unsolicited=lambda address, *end: ends.append(end))
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        connection = await pool.acquire(address, _now())
        with server.accept()[0] as upstream:
            connection.send(REQUEST, b"", "Id", "1")
            upstream.sendall(ANSWER)
            await connection.head()
            await connection.body()
            pool.release(address, connection, _now())
            upstream.sendall(ANSWER)

            other = await pool.acquire(address, _now())
            other.close()

    assert other is not connection
    assert connection.is_closed
    assert ends == [(Unsolicited.IDLE_DATA, False)]


# Guards against a request on a connection to an incarnation whose address another has.
async def test_connection_to_another_incarnation_is_not_reused(raw_server):
    async def handle(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(ANSWER)

    address, pool = await raw_server(handle), ConnectionPool()
    connection = await pool.acquire(address, _now(), "first")
    connection.send(REQUEST, b"", "Id", "1")
    await connection.head()
    await connection.body()
    pool.release(address, connection, _now())

    other = await pool.acquire(address, _now(), "second")
    other.close()

    assert other is not connection
    assert connection.is_closed


# Guards against a connection that remembers the ids of any number of requests.
async def test_connection_is_closed_after_its_largest_number_of_requests(raw_server):
    async def handle(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(ANSWER)

    address, pool = await raw_server(handle), ConnectionPool()
    for _ in range(MAX_REQUESTS + 1):
        connection = await pool.acquire(address, _now())
        connection.send(REQUEST, b"", "Id", "1")
        await connection.head()
        await connection.body()
        pool.release(address, connection, _now())
    pool.close()

    assert pool.opened == 2


async def test_after_a_refused_connection_the_request_was_not_sent():
    with pytest.raises(HttpCallError) as caught:
        await ConnectionPool().acquire("127.0.0.1:1", 0.0)

    assert not caught.value.was_sent
