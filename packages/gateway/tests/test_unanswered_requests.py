"""Whole requests are answered before their connection closes, or are reported."""

import asyncio
import time
from dataclasses import replace

import pytest
import structlog

from wharf_gateway.http import lingering_close
from wharf_gateway.http.connection_end import ConnectionEnd
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.http.unanswered_reason import UnansweredReason
from wharf_gateway.http_server import HttpServer
from wharf_gateway.model.caller_limits import CallerLimits

LIMITS = CallerLimits(500, 100, header_timeout=0.2, idle_timeout=0.3)
EVENT = b"id: 1\ndata: x\n\n"
LONG_BODY_BYTES = 16 << 20  # more than the sockets' buffers hold


class Site:
    """A server whose handler does what the request's path says."""

    def __init__(self):
        self.seen = []
        self.unanswered = []
        self.cancelled = []
        self.go_on = asyncio.Event()
        self.server = HttpServer("127.0.0.1:0", LIMITS, self.handle, self.record)

    def record(self, request, reason):
        self.unanswered.append((request.path, reason))

    async def handle(self, request, responder):
        self.seen.append(request.path)
        if request.path != "/early":
            await request.body_complete.wait()
        match request.path:
            case "/wait":
                try:
                    await self.go_on.wait()
                except asyncio.CancelledError:
                    self.cancelled.append(request.path)
                    raise
            case "/fail":
                raise ValueError("fails on purpose")
            case "/cancelled":
                future = asyncio.get_running_loop().create_future()
                future.cancel()
                await future
            case "/silent":
                return
            case "/failing-stream":
                responder.begin(200, Headers())
                await responder.send(EVENT)
                raise ValueError("fails on purpose")
            case "/long":
                responder.answer(200, Headers(), bytes(LONG_BODY_BYTES))
                return
            case "/long-stream":
                responder.begin(200, Headers())
                try:
                    await responder.send(bytes(LONG_BODY_BYTES))
                except asyncio.CancelledError:
                    self.cancelled.append(request.path)
                    raise
                return
            case "/broken-stream":
                responder.begin(200, Headers())
                await responder.send(EVENT)
                responder.abort()
                return
            case "/stream":
                responder.begin(200, Headers())
                await responder.send(EVENT)
                await self.go_on.wait()
                responder.end()
                return
        status = 413 if request.too_large and request.path != "/early" else 200
        responder.answer(status, Headers(), request.path.encode())


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
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", site.server.port, limit=2 * LONG_BODY_BYTES
        )
        writers.append(writer)
        writer.write(data)
        await asyncio.sleep(0.02)
        return reader, writer

    yield start
    site.go_on.set()
    for writer in writers:
        writer.close()
    await asyncio.sleep(0.02)


async def receive(reader, size=-1):
    async with asyncio.timeout(1):
        return await reader.read(size)


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


async def test_requests_that_are_open_when_the_process_ends_are_reported(site, call):
    # Guards against connections that close with the process and leave no trace.
    await call(get("/wait") + get("/next"))
    await call(get("/answered"))

    site.server.report_unanswered()

    ended = UnansweredReason.PROCESS_ENDED
    assert site.unanswered == [("/wait", ended), ("/next", ended)]


async def test_request_is_reported_once(site, call):
    await call(get("/wait"))

    site.server.report_unanswered()
    for connection in list(site.server.connections):
        connection.close(ConnectionEnd.IDLE)
    await asyncio.sleep(0.02)

    assert len(site.unanswered) == 1


async def test_requests_whose_connection_this_side_closes_are_reported(site, call):
    await call(get("/wait") + get("/next"))

    for connection in list(site.server.connections):
        connection.close(ConnectionEnd.IDLE)
    await asyncio.sleep(0.02)

    assert site.unanswered == [
        ("/wait", UnansweredReason.WHILE_HANDLED),
        ("/next", UnansweredReason.BEFORE_TURN),
    ]


async def test_request_whose_handler_fails_is_answered_with_500(site, call):
    # Guards against an exception that leaves the caller waiting on a busy connection.
    reader, _ = await call(get("/fail") + get("/next"))

    data = await receive(reader, 500)
    assert data.startswith(b"HTTP/1.1 500 ")
    assert b"/next" in data
    assert site.server.busy_count == 0
    assert site.unanswered == []


async def test_request_whose_handler_is_cancelled_from_inside_is_answered(site, call):
    # Guards against a cancelled future, as of a lost link, that ends the handler.
    reader, _ = await call(get("/cancelled"))

    assert (await receive(reader, 20)).startswith(b"HTTP/1.1 500 ")
    assert site.server.busy_count == 0


async def test_request_whose_handler_ends_without_an_answer_gets_500(site, call):
    reader, _ = await call(get("/silent"))

    assert (await receive(reader, 20)).startswith(b"HTTP/1.1 500 ")


async def test_stream_whose_handler_fails_is_reset_and_reported(site, call):
    # Guards against a stream that stays open for ever, or looks complete.
    reader, _ = await call(get("/failing-stream"))

    assert not (await receive(reader)).endswith(b"0\r\n\r\n")
    assert site.unanswered == [("/failing-stream", UnansweredReason.HANDLER_FAILED)]


async def test_request_whose_connection_fails_inside_is_reported(site, call):
    # Guards against a fault of the connection's code that counts as a caller's leave.
    await call(get("/wait") + get("/next"))

    for connection in list(site.server.connections):
        connection.connection_lost(ValueError("fails on purpose"))

    failed = UnansweredReason.CONNECTION_FAILED
    assert site.unanswered == [("/wait", failed), ("/next", failed)]


async def test_caller_that_leaves_first_is_not_reported(site, call):
    _, writer = await call(get("/wait") + get("/next"))
    writer.close()
    await asyncio.sleep(0.02)

    assert not site.server.connections
    assert site.unanswered == []


async def test_caller_that_closes_its_sending_side_has_left(site, call):
    # Guards against work for callers that have closed: a half-closed connection looks
    # the same as a closed one.
    reader, writer = await call(get("/wait") + get("/next"))
    writer.write_eof()

    assert await receive(reader) == b""
    assert not site.server.connections
    assert site.cancelled == ["/wait"]
    assert site.unanswered == []


async def test_nothing_runs_for_a_caller_that_left_a_response_unread(site, call):
    # Guards against work for a caller that left, until its response can't be sent.
    _, writer = await call(b"")
    writer.transport.pause_reading()
    writer.write(get("/long-stream") + get("/next"))
    await asyncio.sleep(0.05)
    writer.write_eof()
    await asyncio.sleep(0.05)

    assert site.cancelled == ["/long-stream"]
    assert site.seen == ["/long-stream"]
    assert site.unanswered == []


@pytest.mark.parametrize("pause", [LIMITS.header_timeout, LIMITS.idle_timeout])
async def test_body_that_comes_slowly_is_not_cut_by_other_time_outs(call, pause):
    # Guards against a header or idle time-out that ends a request in its body.
    reader, writer = await call(b"POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\n")
    for part in (b"a", b"b"):
        await asyncio.sleep(1.5 * pause)
        writer.write(part)

    assert (await receive(reader, 500)).startswith(b"HTTP/1.1 200 ")


async def test_response_that_is_not_sent_counts_as_work(site, call):
    # Guards against a stopping gateway that ends before its response is sent.
    _, writer = await call(b"")
    writer.transport.pause_reading()
    writer.write(get("/long"))
    await asyncio.sleep(0.05)

    assert site.server.busy_count == 1
    site.server.close_idle()
    assert site.server.connections
    writer.transport.resume_reading()
    async with asyncio.timeout(5):
        while site.server.busy_count:
            await asyncio.sleep(0.01)


async def test_caller_that_is_answered_early_and_still_sends_counts_as_work(site, call):
    # Guards against a stopping gateway whose exit resets the connection, so that the
    # caller loses the answer.
    reader, writer = await call(b"POST /early HTTP/1.1\r\nContent-Length: 90\r\n\r\n")
    await receive(reader, 500)

    assert site.server.busy_count == 1
    writer.close()
    async with asyncio.timeout(1):
        while site.server.busy_count:
            await asyncio.sleep(0.01)


async def test_response_that_is_not_sent_as_the_process_ends_is_reported(site, call):
    _, writer = await call(b"")
    writer.transport.pause_reading()
    writer.write(get("/long"))
    await asyncio.sleep(0.05)

    site.server.report_unanswered()

    assert site.unanswered == [("/long", UnansweredReason.NOT_SENT)]


async def test_caller_that_resets_its_connection_is_not_reported(site, call):
    _, writer = await call(get("/wait"))
    writer.transport.abort()
    await asyncio.sleep(0.02)

    assert not site.server.connections
    assert site.unanswered == []


async def test_stream_that_was_begun_and_reset_is_not_reported(site, call):
    reader, _ = await call(get("/broken-stream"))
    assert not (await receive(reader)).endswith(b"0\r\n\r\n")

    assert site.unanswered == []


async def test_request_that_was_not_read_whole_is_not_reported(site, call):
    await call(b"POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")

    site.server.report_unanswered()

    assert site.unanswered == []


@pytest.mark.parametrize(
    ("following", "status"),
    [
        (b"\x00\x01\r\n\r\n", b"400"),
        (b"GET /" + b"a" * 600, b"431"),
        (b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n", b"400"),
    ],
)
async def test_requests_before_a_rejected_one_are_answered(
    site, call, following, status
):
    # Guards against bad input that ends the requests before it without an answer.
    reader, writer = await call(get("/wait") + get("/next"))
    writer.write(following)
    await asyncio.sleep(0.02)
    site.go_on.set()
    data = await receive(reader)

    assert data.count(b"HTTP/1.1 200 ") == 2
    assert data.index(b"/next") < data.index(b"HTTP/1.1 " + status)
    assert data.count(b"HTTP/1.1 ") == 3
    assert site.unanswered == []


async def test_request_in_the_same_bytes_as_a_rejected_one_is_answered(site, call):
    reader, _ = await call(get("/first") + b"\x00\x01\r\n\r\n")
    data = await receive(reader)

    assert data.index(b"/first") < data.index(b"HTTP/1.1 400 ")


async def test_request_with_a_malformed_body_is_rejected(site, call):
    # Guards against a body that never ends and a connection that closes without a word.
    reader, _ = await call(
        b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\nno size\r\n"
    )

    assert (await receive(reader)).startswith(b"HTTP/1.1 400 ")


async def test_requests_that_wait_as_the_server_begins_to_close_are_answered(
    site, call
):
    # Guards against a "Connection: close" that drops requests read before it.
    reader, _ = await call(get("/wait") + get("/second") + get("/third"))
    site.server.closing = True
    site.server.close_idle()
    site.go_on.set()
    data = await receive(reader)

    assert data.count(b"HTTP/1.1 200 ") == 3
    assert data.count(b"Connection: close") == 1
    assert data.index(b"/second") < data.index(b"Connection: close")
    assert site.unanswered == []


async def test_nothing_is_read_once_a_response_has_said_that_it_is_the_last(site, call):
    # Guards against requests that are read, and perhaps run, behind the last response.
    site.server.closing = True
    reader, writer = await call(get("/stream"))
    writer.write(get("/late"))
    await asyncio.sleep(0.02)
    site.go_on.set()
    data = await receive(reader)

    assert b"Connection: close" in data
    assert data.endswith(b"0\r\n\r\n")
    assert site.unanswered == []


async def test_rest_of_a_request_behind_the_last_response_does_not_reset_it(site, call):
    # Guards against unread bytes that reset the connection and lose the response.
    reader, writer = await call(
        get("/wait") + b"POST /late HTTP/1.1\r\nContent-Length: 2\r\n\r\na"
    )
    site.server.closing = True
    site.go_on.set()
    writer.write(b"b")
    data = await receive(reader)

    assert data.count(b"HTTP/1.1 ") == 1
    assert b"Connection: close" in data
    assert site.unanswered == []


@pytest.mark.parametrize(
    ("start", "status"),
    [
        (b"POST /x HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n", b"413"),
        (b"POST /early HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n", b"200"),
        (b"GET /" + b"a" * 600, b"431"),
        (b"\x00\x01\r\n\r\n", b"400"),
    ],
)
async def test_caller_that_goes_on_sending_gets_the_response(call, start, status):
    # Guards against a response that is lost since its connection is reset.
    reader, writer = await call(start + b"x" * 1_000_000)
    for _ in range(10):
        writer.write(b"x" * 100_000)
        await asyncio.sleep(0.005)

    assert (await receive(reader)).startswith(b"HTTP/1.1 " + status)


async def test_stopping_server_lets_the_caller_read_the_last_response(site, call):
    # Guards against close_idle, which is called again and again, cutting a response.
    reader, writer = await call(b"\x00\x01\r\n\r\n")
    site.server.close_idle()
    for _ in range(10):
        writer.write(b"x" * 100_000)
        await asyncio.sleep(0.005)

    assert (await receive(reader)).startswith(b"HTTP/1.1 400")


async def test_caller_that_sends_without_end_is_closed(site, call, monkeypatch):
    monkeypatch.setattr(lingering_close, "LINGER_BYTES", 100_000)
    _, writer = await call(b"\x00\x01\r\n\r\n")
    with pytest.raises(ConnectionError):
        for _ in range(1000):
            writer.write(b"x" * 10_000)
            await writer.drain()

    assert not site.server.connections


async def test_caller_that_does_not_close_its_side_is_closed(site, call, monkeypatch):
    monkeypatch.setattr(lingering_close, "LINGER_SECONDS", 0.05)
    reader, _ = await call(b"\x00\x01\r\n\r\n")
    await receive(reader)
    await asyncio.sleep(0.1)

    assert not site.server.connections


async def test_response_before_the_end_of_the_body_says_that_it_is_the_last(site, call):
    # Guards against a caller that sends its next request into a closing connection.
    reader, _ = await call(
        b"POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"
    )

    assert b"Connection: close" in await receive(reader, 500)


async def test_interim_response_does_not_break_into_another_response(site, call):
    # Guards against "100 Continue" in the middle of the response before it.
    reader, writer = await call(get("/stream"))
    writer.write(
        b"POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    )
    await asyncio.sleep(0.02)
    site.go_on.set()
    async with asyncio.timeout(1):
        before = await reader.readuntil(b"100 Continue\r\n\r\n")
        writer.write(b"ab")
        after = await reader.readuntil(b"/x")

    assert before.endswith(b"\r\n0\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
    assert after.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(("length", "sent"), [(2, b"ab"), (900, b"")])
async def test_body_that_came_or_is_too_large_is_not_asked_for(call, length, sent):
    head = b"POST /x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n"
    reader, _ = await call(head % length + sent)

    assert b"100 Continue" not in await receive(reader, 500)


@pytest.mark.parametrize("arrives_with_the_first", [True, False])
async def test_head_is_not_timed_out_while_the_request_before_is_answered(
    site, call, arrives_with_the_first
):
    # Guards against a connection that closes over a head while one is being answered.
    start, rest = get("/second")[:12], get("/second")[12:]
    first = get("/wait") + start if arrives_with_the_first else get("/wait")
    reader, writer = await call(first)
    writer.write(b"" if arrives_with_the_first else start)
    await asyncio.sleep(1.5 * LIMITS.header_timeout)
    site.go_on.set()
    writer.write(rest)

    async with asyncio.timeout(1):
        assert b"200 OK" in await reader.readuntil(b"/second")


async def test_head_that_began_in_the_bytes_of_a_request_before_is_timed_out(call):
    # Guards against a head that is taken for silence, and closed without a status.
    reader, _ = await call(get("/first") + b"GET /second")

    assert b"HTTP/1.1 408 " in await receive(reader)


async def test_empty_line_after_a_request_is_no_request(site, call):
    # Guards against a stopping gateway that waits for a caller who asks for nothing.
    reader, writer = await call(get("/first"))
    writer.write(b"\r\n")
    await asyncio.sleep(0.02)

    assert site.server.busy_count == 0
    assert b"408" not in await receive(reader)


async def test_request_that_arrives_as_the_connection_times_out_is_answered(call):
    # Guards against an idle time-out that closes over a request in the same step.
    reader, writer = await call(get("/first"))
    writer.write(get("/second"))
    time.sleep(1.2 * LIMITS.idle_timeout)  # both are due when the loop goes on

    async with asyncio.timeout(1):
        assert b"200 OK" in await reader.readuntil(b"/second")


async def test_longer_idle_time_applies_to_connections_that_are_idle(site, call):
    # Guards against callers that reuse a connection by a newer, longer limit.
    reader, writer = await call(get("/first"))
    site.server.limits = replace(LIMITS, idle_timeout=5.0)
    await asyncio.sleep(1.2 * LIMITS.idle_timeout)
    writer.write(get("/second"))

    async with asyncio.timeout(1):
        assert b"200 OK" in await reader.readuntil(b"/second")


async def test_caller_that_reads_a_response_slowly_is_not_idle(site, call):
    # Guards against an idle time-out that begins before the response is sent.
    reader, writer = await call(b"")
    writer.transport.pause_reading()
    writer.write(get("/long"))
    await asyncio.sleep(1.5 * LIMITS.idle_timeout)
    writer.transport.resume_reading()
    writer.write(get("/second"))

    async with asyncio.timeout(2):
        assert b"200 OK" in await reader.readuntil(b"/second")


@pytest.mark.parametrize("sent_bytes", [10, 70])
async def test_request_is_judged_by_the_limits_at_its_begin(site, call, sent_bytes):
    # Guards against a request that is refused midway by a newer configuration.
    request = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\n" + b"x" * 40
    reader, writer = await call(request[:sent_bytes])
    site.server.limits = replace(LIMITS, max_header_bytes=20, max_body_bytes=20)
    writer.write(request[sent_bytes:])
    data = await receive(reader, 500)
    writer.write(request)

    assert data.startswith(b"HTTP/1.1 200 ")
    assert (await receive(reader, 500)).startswith(b"HTTP/1.1 4")


async def test_gateway_logs_and_counts_an_unanswered_request(gateway):
    headers = Headers((("Vanillawharf-Attempt-Id", "r1"),))
    request = InboundRequest("GET", "/", headers, asyncio.get_running_loop().time())

    with structlog.testing.capture_logs() as lines:
        gateway.record_unanswered(request, UnansweredReason.PROCESS_ENDED)

    assert [(x["event"], x["request"], x["reason"]) for x in lines] == [
        ("unanswered", "r1", "process_ended")
    ]
    counts = gateway.meter.count_by_name["wharf_unanswered_requests"]
    assert counts == {("process_ended",): 1}


async def test_gateway_answers_a_failed_request_with_a_code_and_logs_it(gateway):
    # Guards against a failure that neither the caller nor operators can name.
    async def fail(request, responder):
        raise ValueError("fails on purpose")

    gateway.server.handle = fail
    await gateway.server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.server.port)
    with structlog.testing.capture_logs() as lines:
        writer.write(b"GET / HTTP/1.1\r\nVanillawharf-Attempt-Id: r1\r\n\r\n")
        data = await receive(reader, 500)
    writer.close()
    gateway.server.stop_accepting()

    assert data.startswith(b"HTTP/1.1 500 ")
    assert b'"error": "internal"' in data
    assert [(x["event"], x["request"], str(x["exc_info"])) for x in lines] == [
        ("request_failed", "r1", "fails on purpose")
    ]
    counts = gateway.meter.count_by_name["wharf_requests"]
    assert counts == {("none", 500, "internal"): 1}


async def test_stopping_gateway_reports_what_it_could_not_answer(gateway):
    # Guards against requests that end with the process and leave no trace.
    async def wait(request, responder):
        await asyncio.Event().wait()

    gateway.server.handle = wait
    await gateway.server.start()
    _, writer = await asyncio.open_connection("127.0.0.1", gateway.server.port)
    writer.write(b"GET / HTTP/1.1\r\nVanillawharf-Attempt-Id: r1\r\n\r\n")
    with structlog.testing.capture_logs() as lines:
        await gateway.stop()
    writer.close()
    await asyncio.sleep(0.02)

    unanswered = [line for line in lines if line["event"] == "unanswered"]
    assert [(x["request"], x["reason"]) for x in unanswered] == [
        ("r1", "process_ended")
    ]
