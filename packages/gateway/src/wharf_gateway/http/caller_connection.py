"""The server side of one HTTP/1.1 connection from a caller."""

import asyncio
from collections import deque
from operator import attrgetter

import httptools

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

_header_timeout = attrgetter("header_timeout")
_idle_timeout = attrgetter("idle_timeout")


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
    """

    def __init__(self, site):
        self._site = site
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
        self._awaited_since = 0.0
        self._is_in_head = False
        self._fields = []
        self._target = b""
        self._head_bytes = 0
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
        self._site.connections.add(self)
        self._await_request(_header_timeout)

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

    def resume_writing(self):
        """Let `drain` return, since the write buffer has room again."""
        self._is_writable.set()

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
        if self._reading is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered as any other. The parser can't go on after it, so
            # that it is the connection's last.
            self._is_ended = True
        except httptools.HttpParserError:
            self._reject(400)
            return
        if self._head_bytes > self._limits.max_header_bytes:
            self._reject(431)

    @property
    def is_idle(self):
        """Return whether no request is being read or answered, and all is sent."""
        is_working = self._task or self._reading or self._is_in_head
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

    def stop_reading(self):
        """Read no further request, and forget one that was read in part."""
        self._is_reading_over = True
        self._is_in_head = False
        self._reading = None
        self._waiting.clear()

    def write(self, data):
        """Write bytes unless the connection is closing."""
        if not self._closing and not self._transport.is_closing():
            self._transport.write(data)

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
        self._fields = []
        self._target = b""
        self._is_in_head = True
        self._limits = self._site.limits
        if self._task is None:
            self._await_request(_header_timeout)

    def on_url(self, url):
        """Collect the request's target."""
        self._target += url

    def on_header(self, name, value):
        """Collect a header field."""
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Start the handler, or queue the request; its body may still be incomplete."""
        self._head_bytes = 0
        self._is_in_head = False
        headers = Headers(tuple(self._fields))
        request = InboundRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            headers,
            self._loop.time(),
            self._parser.should_keep_alive(),
        )
        length = headers.get("content-length", "0")
        if length.isdecimal() and int(length) > self._limits.max_body_bytes:
            request.too_large = True
            request.body_complete.set()
        self._cancel_timer()
        self._reading = request
        self._waiting.append(request)
        if len(self._waiting) > MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()
        if self._task is None:
            self._answer_next()

    def on_body(self, body):
        """Collect the request's body."""
        request = self._reading
        if request.too_large:
            return
        request.body += body
        if len(request.body) > self._limits.max_body_bytes:
            request.too_large = True
            request.body_complete.set()

    def on_message_complete(self):
        """Mark the request's body as complete."""
        self._reading.is_read = True
        self._reading.body_complete.set()
        self._reading = None

    def _cancel_handler(self):
        self._is_reading_over = True
        if self._task:
            self._task.cancel()

    def _reject(self, status):
        """Answer with `status` after the requests that were read whole."""
        self._is_reading_over = True
        self._rejection = status
        self._is_in_head = False
        rejected, self._reading = self._reading, None
        if rejected in self._waiting:
            self._waiting.remove(rejected)
        elif rejected and not (self._responder and self._responder.is_started):
            self._task.cancel()
            self._task = None
        if self._task is None:
            self._answer_rejection()

    def _answer_rejection(self):
        Responder(self, keep_alive=False).answer(self._rejection)

    def _await_request(self, timeout):
        """Wait `timeout(limits)` seconds for a request, or for the rest of its head."""
        self._cancel_timer()
        self._timeout = timeout
        self._awaited_since = self._loop.time()
        self._timer = self._loop.call_later(timeout(self._site.limits), self._expire)

    def _cancel_timer(self):
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _expire(self):
        ends_at = self._awaited_since + self._timeout(self._site.limits)
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
        self._transport.resume_reading()
        self._task = self._loop.create_task(self._answer(self._request))

    async def _answer(self, request):
        if request.expects_continue:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        responder = Responder(self, request.keep_alive)
        self._responder = responder
        await self._run_handler(request, responder)
        self._task = None
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
