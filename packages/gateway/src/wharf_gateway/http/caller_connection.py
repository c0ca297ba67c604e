"""The server side of one HTTP/1.1 connection from a caller."""

import asyncio
import socket
from collections import deque
from operator import attrgetter

import httptools

from wharf_gateway.http.byte_use import ByteUse
from wharf_gateway.http.caller_guard import CallerGuard
from wharf_gateway.http.connection_end import ConnectionEnd
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.http.lingering_close import LingeringClose
from wharf_gateway.http.responder import Responder
from wharf_gateway.http.socket_options import detect_dead_peer
from wharf_gateway.http.unanswered_reason import UnansweredReason

__all__ = ["CallerConnection"]

# Requests that are read ahead of the current response; others stay in the socket.
MAX_PIPELINED_REQUESTS = 2

# The parser can't stop between two requests of one call, and 512 bytes hold at most 28
# requests. Received bytes whose parts are known to be body are parsed at once; of a
# chunked body, 1,024 bytes hold at most 170 chunks, and more are parsed at once while
# its chunks are large.
SLICE_BYTES = 512
CHUNKED_SLICE_BYTES = 1024
LARGE_CHUNKS_SLICE_BYTES = 4096
LARGE_CHUNKS_PIECES = 4  # at most, in the slice before
# A chunked body is reserved ahead, as a reservation costs more than to parse a chunk.
RESERVED_AHEAD_BYTES = 4096

# Measured with CPython 3.11 on 64 bits: a header field costs a tuple and two texts, a
# request its objects, its task and its context. A body is held twice while it is sent.
LINE_COST_BYTES = 200
REQUEST_COST_BYTES = 2500
BODY_COST_FACTOR = 2
SMALL_BODY_BYTES = 16 << 10
# Most stalled clients are disconnected within a few times this.
RETRY_SECONDS = 0.5
WRITE_BUFFER_BYTES = 16 << 10

_header_timeout = attrgetter("header_timeout")
_idle_timeout = attrgetter("idle_timeout")


class _RefusedError(Exception):
    """Ends the parsing of requests that are refused."""


class CallerConnection(asyncio.Protocol):
    """Parse requests and pass them to `site.handle`, one at a time.

    A request that was read whole is answered before the connection closes, unless the
    caller closed it first or the handler cut a response that it had begun. Any other
    end is passed to `site.record_unanswered(request, reason)`. A handler that fails is
    passed to `site.answer_failure(request, responder, error)`. The connection's end is
    passed to `site.record_end(end, request)`: a `ConnectionEnd` and the request that it
    cuts, or None.

    `site` has `limits`, a `CallerLimits`; the coroutine `handle(request, responder)`;
    `closing`, true while the server stops; and `connections`, the set of open ones.
    `guard` limits what all connections hold together.
    """

    def __init__(self, site, guard=None):
        self._site = site
        self._guard = guard or CallerGuard()
        self._account = None
        self._limits = site.limits
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = deque()
        self._reading = None
        self._request = None
        self._responder = None
        self._task = None
        self._timer = None
        self._timeout = _header_timeout
        self.awaited_since = 0.0
        self._is_in_head = False
        self._fields = []
        self._target = b""
        self._head_bytes = 0
        self._head_cost = 0
        self._head_held = 0
        self._lines = 0
        self._body_left = 0
        self._reserved_ahead = 0
        self._is_chunked = False
        self._refusal = None
        self._offer = None
        self._is_replaying = False
        self._rest = b""
        self._rest_held = 0
        self._is_paused = False
        self._pieces = 0
        self._waits_turn = False
        self._has_waited_turn = False
        self._unread = 0
        self._answer_held = 0
        self._is_reading_over = False
        self._rejection = None
        self._is_ended = False
        self._end = None
        self._closing = None
        self._is_reported = False
        self._is_writable = asyncio.Event()
        self._is_writable.set()

    def connection_made(self, transport):
        """Register the connection and wait for the first request."""
        self._transport = transport
        detect_dead_peer(transport)
        self._limit_buffers()
        now = self._loop.time()
        address = transport.get_extra_info("peername")
        caller = address[0] if address else ""
        self._account = self._guard.budget.open(self, caller, now)
        self._site.connections.add(self)
        if self._guard.admit(self, self._site.connections, now):
            self._await_request(_header_timeout)
        else:
            self._guard.record("connections", self)
            self._is_reading_over = True
            self.close(ConnectionEnd.CROWDED)

    def connection_lost(self, exc):
        """Report unanswered requests, and cancel the handler of the current one."""
        self._site.connections.discard(self)
        if self._end:
            self._report(UnansweredReason.WHILE_HANDLED, UnansweredReason.BEFORE_TURN)
        elif not isinstance(exc, OSError | None):
            # The event loop passes on what a callback of this class raised.
            self._end = ConnectionEnd.FAILED
            failed = UnansweredReason.CONNECTION_FAILED
            self._report(failed, failed)
        elif exc:
            self._end = ConnectionEnd.LOST
        self._site.record_end(self._end or ConnectionEnd.CALLER, self._cut_request)
        self._cancel_timer()
        if self._closing:
            self._closing.connection_lost()
        self._is_writable.set()
        self._rest = b""
        self._guard.budget.release(self._account, self._account.held)
        self._cancel_handler()

    def eof_received(self):
        """Close the connection and cancel the handler when the caller closes its side.

        A caller that closes only its sending side can't be told from one that left.
        """
        self._cancel_handler()
        return False

    def pause_writing(self):
        """Make `drain` wait, since the write buffer is full."""
        self._is_writable.clear()
        self._account.progress_at = self._loop.time()
        self._reserve_unread()

    def resume_writing(self):
        """Let `drain` return, since the write buffer has room again."""
        self._is_writable.set()
        self._account.progress_at = self._loop.time()
        self._unread = 0
        self._settle()

    async def drain(self):
        """Wait until more can be written."""
        await self._is_writable.wait()

    def data_received(self, data):
        """Parse received data; reject invalid requests and too large headers."""
        if self._closing:
            self._closing.data_received(data)
            return
        if self._is_reading_over or self._is_ended:
            return
        self._guard.budget.record_progress(self._account, len(data), self._loop.time())
        if self._is_paused:
            self._pause(self._rest + data)
        else:
            self._parse(data)

    def reserve_answer(self, size):
        """Return whether there is memory for an answer of `size` bytes.

        It is held twice while its parts are joined.
        """
        size *= BODY_COST_FACTOR
        is_reserved = self._reserve(size, ByteUse.RESPONSE)
        if is_reserved:
            self._answer_held += size
        else:
            self._guard.record("answer", self)
        return is_reserved

    @property
    def is_idle(self):
        """Return whether no request is being read or answered, and all is sent."""
        is_working = self._task or self._reading or self._is_in_head or self._rest
        return not is_working and not self._is_sending and not self._is_draining

    @property
    def _is_draining(self):
        """Return whether a caller that was answered early may still be sending."""
        is_read = self._request is not None and self._request.is_read
        return self._closing is not None and not is_read

    @property
    def is_last_response(self):
        """Return whether the connection closes after the current response.

        Requests that were read whole behind it are answered first.
        """
        if not self._request.is_read:
            return True
        if self._rejection or (self._waiting and self._waiting[0].is_read):
            return False
        return self._site.closing or (self._is_ended and not self._waiting)

    @property
    def caller(self):
        """Return the customer or the address to which the connection belongs."""
        return self._account.caller

    @property
    def waits_for_head(self):
        """Return whether no request is known that must be answered."""
        is_working = self._task or self._waiting or self._closing or self._rest
        return not is_working and not self._is_sending

    def update_account(self, now):
        """Record what the caller has read, and whether it has to read or send."""
        if self._unread:
            size = self._unread_bytes
            if size < self._unread:
                self._account.progress_at = now
                self._unread = size
                self._settle()
        is_read_in_part = self._reading and self._reading.retry_after is None
        self._account.is_waiting = bool(
            self._unread or is_read_in_part or self._is_in_head or self._rest
        )

    def stalled_seconds(self, now):
        """Return how long its caller has not sent or read what it has to, else 0."""
        self.update_account(now)
        is_stalled = self._account.is_waiting and not self._closing
        return now - self._account.progress_at if is_stalled else 0.0

    def shed(self):
        """Free what its caller holds by not having sent or read the rest."""
        if self._unread:
            # Also a connection that is closing waits until its response is read.
            self._disconnect(ConnectionEnd.STALLED)
        elif self._closing or self._transport.is_closing():
            return
        elif self._reading and self._reading is self._request:
            self._reading.refuse(RETRY_SECONDS)
        elif self._reading or self._is_in_head or self._rest:
            self._reject(503)
        self._settle()

    def shed_idle(self):
        """Close the connection, on which no request is known, for another one."""
        self._is_reading_over = True
        self.close(ConnectionEnd.CROWDED)

    def stop_reading(self):
        """Read no further request, and forget one that was read in part."""
        self._is_reading_over = True
        self._is_in_head = False
        self._reading = None
        self._waiting.clear()
        self._settle()

    def write(self, data):
        """Write bytes unless the connection is closing."""
        if not self._closing and not self._transport.is_closing():
            self._transport.write(data)
            if not self._is_writable.is_set():
                self._reserve_unread()

    def close(self, end):
        """Close the connection after the write buffer is sent; `end` says why."""
        if not self._closing and not self._transport.is_closing():
            self._end = end
            self._transport.close()

    def close_after_response(self):
        """Close the connection once the caller has had time to read the response."""
        if not self._closing and not self._transport.is_closing():
            self._end = ConnectionEnd.LAST_RESPONSE
            self._closing = LingeringClose(self._transport)

    def abort(self):
        """End the connection within a response, so that the caller sees it incomplete.

        A reset would take the responses before it that the caller hasn't read.
        """
        if not self._closing and not self._transport.is_closing():
            self._end = ConnectionEnd.CUT
            self._closing = LingeringClose(self._transport)

    def report_unanswered(self):
        """Report the requests without a complete response, as the process ends."""
        if self._is_answered and self._is_sending:
            self._record(self._request, UnansweredReason.NOT_SENT)
        self._report(UnansweredReason.PROCESS_ENDED, UnansweredReason.PROCESS_ENDED)

    # Callbacks of the parser.

    def on_message_begin(self):
        """Start the timeout of the request's head; take the limits on its size."""
        if self._is_replaying:
            return
        self._fields = []
        self._target = b""
        self._head_cost = self._lines = 0
        self._is_in_head = True
        self._account.progress_at = self._loop.time()
        self._limits = self._site.limits
        if self._task is None:
            self._await_request(_header_timeout)

    def on_url(self, url):
        """Collect the request's target."""
        if not self._is_replaying:
            self._target += url
            self._head_cost += len(url)

    def on_header(self, name, value):
        """Collect a header field; drop those behind a body."""
        if self._is_replaying:
            return
        self._pieces += 1
        self._lines += 1
        if self._lines > self._guard.max_header_lines:
            self._refusal = 431
            raise _RefusedError
        if self._reading is not None:
            return
        self._head_cost += LINE_COST_BYTES + len(name) + len(value)
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Start the handler, or queue the request; its body may still be incomplete."""
        if self._is_replaying:
            self._is_replaying = False
            return
        self._is_in_head = False
        headers = Headers(tuple(self._fields))
        self._fields = []
        request = InboundRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            headers,
            self._loop.time(),
            self._parser.should_keep_alive(),
        )
        request.account = self._account
        self._reserve_request(request)
        self._head_bytes = self._lines = 0
        length = headers.get("content-length", "0")
        self._is_chunked = headers.get("transfer-encoding") is not None
        self._reserved_ahead = 0
        self._body_left = int(length) if length.isdecimal() else 0
        self._note_offer(headers)
        if self._body_left > self._limits.max_body_bytes:
            request.too_large = True
            request.body_complete.set()
        elif self._body_left and request.retry_after is None:
            self._reserve_body(request, self._body_left, self._body_left)
        self._cancel_timer()
        self._reading = request
        self._waiting.append(request)
        if self._task is None:
            self._answer_next()

    def on_body(self, body):
        """Collect the request's body."""
        request = self._reading
        self._pieces += 1
        self._body_left -= len(body)
        self._head_bytes = 0
        if request.too_large or request.retry_after is not None:
            return
        if self._is_chunked and not self._reserve_part(request, len(body)):
            return
        request.body += body
        if len(request.body) > self._limits.max_body_bytes:
            request.too_large = True
            request.body_complete.set()

    def on_message_complete(self):
        """Mark the request's body as complete."""
        if self._offer:
            return
        self._head_bytes = self._lines = 0
        self._is_chunked = False
        self._account.is_waiting = False
        self._reading.is_read = True
        self._reading.body_complete.set()
        self._reading = None

    # Parsing.

    def _parse(self, data):
        """Parse received bytes, as far as requests may be read ahead."""
        view, position = memoryview(data), 0
        self._pieces = 0
        size = SLICE_BYTES
        while position < len(view):
            if len(self._waiting) > MAX_PIPELINED_REQUESTS:
                self._pause(bytes(view[position:]))
                return
            if self._pieces >= self._guard.turns.share:
                self._wait_turn(bytes(view[position:]))
                return
            if not self._reading:
                size = SLICE_BYTES
            elif not self._is_chunked:
                size = max(SLICE_BYTES, self._body_left)
            pieces = self._pieces
            self._feed(view[position : position + size])
            position += size
            has_large_chunks = self._pieces - pieces <= LARGE_CHUNKS_PIECES
            size = LARGE_CHUNKS_SLICE_BYTES if has_large_chunks else CHUNKED_SLICE_BYTES
            if self._is_reading_over or self._is_ended or self._closing:
                return
        if len(self._waiting) > MAX_PIPELINED_REQUESTS:
            self._pause(b"")
        elif self._is_in_head:
            self._reserve_head()

    def _feed(self, part):
        """Parse a few bytes; reject invalid requests and too large heads.

        The head's limit also applies to bytes between those of a chunked body.
        """
        if self._reading is None or self._is_chunked:
            self._head_bytes += len(part)
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade as error:
            self._decline_offer(part[error.args[0] :])
            return
        except httptools.HttpParserError:
            self._reject(self._refusal or 400)
            return
        if self._head_bytes > self._limits.max_header_bytes:
            self._reject(431)

    def _note_offer(self, headers):
        """Note how the body of a request that offers another protocol is framed.

        The parser ends such a request with its head.
        """
        names = ("content-length", "transfer-encoding")
        is_offer = self._parser.should_upgrade() and (
            self._is_chunked or self._body_left
        )
        is_tunnel = self._parser.get_method() == b"CONNECT"
        self._offer = None
        if is_offer and not is_tunnel:
            fields = [f for f in headers.fields if f[0].lower() in names]
            if not self._parser.should_keep_alive():
                fields.append(("Connection", "close"))
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
            version = self._parser.get_http_version()
            self._offer = f"POST / HTTP/{version}\r\n{lines}\r\n".encode("latin-1")

    def _decline_offer(self, rest):
        """Go on in the same protocol after the head of a request offered another one.

        A new parser reads the body after a head that frames it likewise. Nothing is
        read behind a CONNECT request.
        """
        if self._parser.get_method() == b"CONNECT":
            self._is_ended = True
            return
        self._parser = httptools.HttpRequestParser(self)
        offer, self._offer = self._offer, None
        if offer:
            self._is_replaying = True
            try:
                self._parser.feed_data(offer)
            except httptools.HttpParserError:
                self._reject(400)
                return
        if len(rest):
            self._feed(rest)

    def _wait_turn(self, rest):
        """Keep the rest of the received bytes, behind those of other callers."""
        if not self._has_waited_turn:
            self._has_waited_turn = True
            self._guard.record("pieces", self)
        self._pause(rest)
        self._waits_turn = True
        self._guard.wait_turn(self, self._loop)

    def parse_waiting(self):
        """Parse some of the bytes that were kept; return the number of their pieces."""
        self._waits_turn = False
        self._pieces = 0
        try:
            self._go_on()
        except Exception:
            # The event loop does the same if a callback with data fails.
            self._end = ConnectionEnd.FAILED
            self._transport.abort()
            raise
        return self._pieces

    def _pause(self, rest):
        """Keep the rest of the received bytes, and read no more for now."""
        self._rest = rest
        self._is_paused = True
        self._transport.pause_reading()
        cost = len(rest) + (self._guard.socket_buffer_bytes or 0)
        if self._reserve(cost - self._rest_held, ByteUse.SMALL):
            self._rest_held = max(cost, self._rest_held)
        else:
            self._reject(503)

    def _go_on(self):
        """Parse what was kept, and read on."""
        if self._is_reading_over or self._closing or self._transport.is_closing():
            return
        rest, self._rest = self._rest, b""
        self._is_paused = False
        self._rest_held = 0
        self._settle()
        self._transport.resume_reading()
        self._parse(rest)

    # Memory.

    def _limit_buffers(self):
        """Limit the buffers of the kernel and the event loop for this connection."""
        size = self._guard.socket_buffer_bytes
        sock = self._transport.get_extra_info("socket")
        if size and sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            # The kernel doubles the size.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size // 2)
            self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    def _reserve(self, size, use):
        now = self._loop.time()
        return self._guard.reserve(
            self._account, size, now, use, self._site.connections
        )

    def _reserve_head(self):
        """Reserve what an incomplete head takes, or refuse it."""
        size = self._head_cost + self._head_bytes - self._head_held
        if self._reserve(size, ByteUse.SMALL):
            self._head_held += max(0, size)
        else:
            self._reject(503)

    def _reserve_request(self, request):
        """Reserve what a request without its body takes, or refuse it."""
        cost = self._head_cost + self._head_bytes + REQUEST_COST_BYTES
        held, self._head_held = self._head_held, 0
        if self._reserve(cost - held, ByteUse.SMALL):
            request.cost = max(cost, held)
        elif self._task or self._waiting:
            self._refusal = 503
            raise _RefusedError
        else:
            self._guard.record("head", self)
            request.refuse(RETRY_SECONDS)
            self._settle()

    def _reserve_part(self, request, size):
        """Reserve a part of a chunked body and some more, or refuse the request."""
        if size > self._reserved_ahead:
            ahead = max(size, min(RESERVED_AHEAD_BYTES, len(request.body)))
            if not self._reserve_body(request, ahead, len(request.body) + size):
                return False
            self._reserved_ahead += ahead
        self._reserved_ahead -= size
        return True

    def _reserve_body(self, request, size, total):
        """Reserve bytes of a body that will have `total`, or refuse the request."""
        use = ByteUse.SMALL if total <= SMALL_BODY_BYTES else ByteUse.BODY
        if self._reserve(BODY_COST_FACTOR * size, use):
            request.cost += BODY_COST_FACTOR * size
            return True
        self._guard.record("body", self)
        request.refuse(RETRY_SECONDS)
        self._settle()
        return False

    def _reserve_unread(self):
        """Reserve the bytes in the write buffer, or disconnect the caller."""
        if self._answer_held:
            self._answer_held = 0
            self._settle()
        size = self._unread_bytes - self._unread
        if self._reserve(size, ByteUse.RESPONSE):
            self._unread += size
        else:
            self._disconnect(ConnectionEnd.STALLED)

    @property
    def _unread_bytes(self):
        """Return the bytes of responses in the write buffer and in the kernel's."""
        buffered = self._transport.get_write_buffer_size()
        return buffered + (self._guard.socket_buffer_bytes or 0) if buffered else 0

    def _settle(self):
        """Release the bytes that are no longer needed."""
        needed = self._head_held if self._is_in_head else 0
        needed += self._rest_held if self._rest or self._is_paused else 0
        needed += self._unread + self._answer_held
        needed += sum(request.cost for request in self._waiting)
        if self._task and self._request:
            needed += self._request.cost
        self._guard.budget.release(self._account, self._account.held - needed)

    def _disconnect(self, end):
        """Close the connection at once, without what its caller has not read."""
        self._end = end
        self._is_reported = True
        self._unread = 0
        self._settle()
        self._guard.record(end, self)
        self._transport.abort()

    def _cancel_handler(self):
        self._is_reading_over = True
        if self._task:
            self._task.cancel()

    def _reject(self, status):
        """Answer with `status` after the requests that were read whole."""
        self._guard.record(f"status_{status}", self)
        self._is_reading_over = True
        self._rejection = status
        self._is_in_head = False
        self._fields = []
        self._rest = b""
        rejected, self._reading = self._reading, None
        if rejected in self._waiting:
            self._waiting.remove(rejected)
        elif rejected and not (self._responder and self._responder.is_started):
            self._task.cancel()
            self._task = None
        self._settle()
        if self._task is None:
            self._answer_rejection()

    def _answer_rejection(self):
        fields = ()
        if self._rejection == 503:
            fields = (("Retry-After", f"{RETRY_SECONDS:.2f}"),)
        Responder(self, keep_alive=False).answer(self._rejection, Headers(fields))

    def _await_request(self, timeout):
        """Wait `timeout(limits)` seconds for a request, or for the rest of its head."""
        self._cancel_timer()
        self._timeout = timeout
        self.awaited_since = self._loop.time()
        self._timer = self._loop.call_later(timeout(self._site.limits), self._expire)

    def _cancel_timer(self):
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _expire(self):
        ends_at = self.awaited_since + self._timeout(self._site.limits)
        if ends_at > self._loop.time():
            self._timer = self._loop.call_at(ends_at, self._expire)
        elif self._is_in_head:
            self._reject(408)
        elif self._is_sending:
            # The caller can't be idle before it has the response.
            self._await_request(_idle_timeout)
        else:
            self.close(ConnectionEnd.IDLE)

    def _answer_next(self):
        self._request = self._waiting.popleft()
        self._responder = None
        is_ready = len(self._waiting) <= MAX_PIPELINED_REQUESTS
        if self._is_paused and is_ready and not self._waits_turn:
            self._loop.call_soon(self._go_on)
        self._task = self._loop.create_task(self._answer(self._request))

    async def _answer(self, request):
        if request.expects_continue:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        responder = Responder(self, request.keep_alive)
        self._responder = responder
        await self._run_handler(request, responder)
        self._task = None
        if request.cost > SMALL_BODY_BYTES or request.retry_after is not None:
            # An idle or lingering connection would hold what is released here.
            self._request = request.without_content()
        self._answer_held = 0
        self._settle()
        if self._transport.is_closing():
            return
        if not request.is_read or not responder.keep_alive:
            self.close_after_response()
        elif self._waiting:
            self._answer_next()
        elif self._rejection:
            self._answer_rejection()
        elif self._is_ended:
            self.close_after_response()
        else:
            self._await_request(_header_timeout if self._is_in_head else _idle_timeout)

    async def _run_handler(self, request, responder):
        """Run the handler, and answer in its place if it fails."""
        try:
            await self._site.handle(request, responder)
            if not responder.is_over and not self._transport.is_closing():
                raise RuntimeError("the handler ended without a response")
        except asyncio.CancelledError as error:
            # A future that was cancelled elsewhere raises this too.
            if asyncio.current_task().cancelling():
                raise
            self._site.answer_failure(request, responder, error)
        except Exception as error:
            self._site.answer_failure(request, responder, error)
        if responder.is_over or self._transport.is_closing():
            return
        if responder.is_started:
            self._record(request, UnansweredReason.HANDLER_FAILED)
            responder.abort()
        else:
            responder.answer(500)

    @property
    def _cut_request(self):
        """Return the request whose response the end of the connection cuts, or None."""
        if self._end is ConnectionEnd.CUT:
            return self._request
        is_cut = self._request is not None and not self._is_answered
        return self._request if is_cut else next(iter(self._waiting), None)

    @property
    def _is_answered(self):
        """Return whether the last request that was begun has its response."""
        return self._responder is not None and self._responder.is_over

    @property
    def _is_sending(self):
        return self._transport.get_write_buffer_size() > 0

    def _report(self, current_reason, waiting_reason):
        """Record the requests that were read whole and have no complete response."""
        if self._is_reported:
            return
        self._is_reported = True
        if self._request and self._request.is_read and not self._is_answered:
            self._record(self._request, current_reason)
        for request in self._waiting:
            if request.is_read:
                self._record(request, waiting_reason)

    def _record(self, request, reason):
        if not request.is_recorded:
            request.is_recorded = True
            self._site.record_unanswered(request, reason)
