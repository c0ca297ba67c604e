"""Whatever callers send is answered or refused, in whatever pieces it arrives."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from wharf_gateway.http.caller_connection import CallerConnection
from wharf_gateway.http.headers import Headers
from wharf_gateway.model.caller_limits import CallerLimits

REQUESTS = (
    b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
    b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhi\r\n1;x=y\r\n!\r\n0\r\nT: 1\r\n\r\n",
    b"POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n" + b"x" * 99,
)
BODIES = (b"", b"abc", b"hi!", None)  # None: over the limit
cuts = st.lists(st.integers(1, 60), max_size=12)


class Transport:
    """A transport that records what is written and whether it was closed."""

    def __init__(self):
        self.written = b""
        self.closed = False

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.closed

    def write(self, data):
        self.written += data

    def close(self):
        self.closed = True

    abort = write_eof = close

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    resume_reading = pause_reading


class Site:
    """A server that answers with the request's target and body."""

    limits = CallerLimits(500, 50, header_timeout=60.0, idle_timeout=60.0)
    closing = False

    def __init__(self):
        self.connections = set()
        self.seen = []
        self.unanswered = []

    def record_unanswered(self, request, reason):
        self.unanswered.append((request.target, reason))

    def answer_failure(self, request, responder, error):
        raise error

    async def handle(self, request, responder):
        await request.body_complete.wait()
        if request.too_large:
            self.seen.append(None)
            responder.answer(413)
            return
        self.seen.append(bytes(request.body))
        responder.answer(200, Headers(), request.target.encode("latin-1"))


def _serve(data, sizes):
    """Return the site and the transport after the data arrived in pieces."""

    async def run():
        site, transport = Site(), Transport()
        connection = CallerConnection(site)
        connection.connection_made(transport)
        rest = data
        for size in (*sizes, len(data)):
            if rest and not transport.closed:
                connection.data_received(rest[:size])
                for _ in range(4):
                    await asyncio.sleep(0)
            rest = rest[size:]
        for _ in range(20):
            await asyncio.sleep(0)
        connection.connection_lost(None)
        await asyncio.sleep(0)
        return site, transport

    return asyncio.run(run())


@given(st.lists(st.sampled_from([0, 1, 2]), max_size=4), cuts)
def test_requests_are_answered_whole_and_in_order_in_any_pieces(numbers, sizes):
    site, transport = _serve(b"".join(REQUESTS[n] for n in numbers), sizes)

    assert site.seen == [BODIES[n] for n in numbers]
    assert transport.written.count(b"HTTP/1.1 200") == len(numbers)


@given(st.sampled_from(REQUESTS), st.data(), cuts)
def test_request_that_is_not_complete_never_runs(request, data, sizes):
    cut = request[: data.draw(st.integers(0, len(request) - 1))]
    site, _ = _serve(cut, sizes)

    assert site.seen in ([], [None])


@given(
    st.sampled_from(REQUESTS),
    st.lists(st.tuples(st.integers(0, 130), st.binary(max_size=4)), max_size=5),
    cuts,
)
def test_mutated_requests_are_answered_or_refused(request, changes, sizes):
    for place, change in changes:
        request = request[:place] + change + request[place + len(change) :]
    site, transport = _serve(request, sizes)

    assert all(body is None or len(body) <= 50 for body in site.seen)
    answers = transport.written.count(b"HTTP/1.1 ")
    assert answers >= len(site.seen)


@given(st.binary(max_size=3000), cuts)
def test_any_bytes_are_answered_or_refused(data, sizes):
    site, transport = _serve(data, sizes)

    assert not site.seen or transport.written


def test_request_to_change_the_protocol_is_answered_as_any_other():
    """It was closed without an answer while it already ran."""
    head = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
    site, transport = _serve(head, [])

    assert site.seen == [b""]
    assert transport.written.count(b"HTTP/1.1 200") == 1
