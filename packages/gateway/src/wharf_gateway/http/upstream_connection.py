"""The client side of one HTTP/1.1 connection to an upstream."""

import asyncio
from contextlib import suppress

import httptools

from wharf_gateway.http.headers import Headers
from wharf_gateway.http.http_call_error import (
    AnswerTooLargeError,
    HttpCallError,
    UnmatchedAnswerError,
)
from wharf_gateway.http.response_head import ResponseHead
from wharf_gateway.http.socket_options import (
    detect_dead_peer,
    pending_error,
    unacknowledged_bytes,
    unread_data,
)
from wharf_gateway.http.status import is_final_status
from wharf_gateway.http.unsolicited import Unsolicited

__all__ = ["MAX_REQUESTS", "UpstreamConnection"]

_BODYLESS_STATUSES = (204, 304)
# The ids that a connection remembers are bounded by the number of its requests. At this
# number a new connection is opened for each 256 requests.
MAX_REQUESTS = 256
# How often an upstream that has ended its side is asked whether it took the request.
CHECK_SECONDS = 0.02


class UpstreamConnection(asyncio.Protocol):
    """Send one request at a time and read its response.

    Responses with the id of another request are read and dropped, one without an id
    ends the exchange. A connection on which such data arrived is not reused;
    `on_unsolicited(cause, is_cut)` is called at the first, `is_cut` says whether it
    ends an exchange without a response. `idle_timeout` is how
    long the upstream keeps the idle connection open, in seconds, None if unknown.
    A response that exceeds `limits` fails, and the connection is reset at once. `owner`
    is what the connection was opened for. `on_late_head`, if set, is called with the
    head of each response that nobody waits for. The ids of the requests that were sent
    are kept, since a second response to one of them may still come.
    """

    def __init__(self, limits):
        self._limits = limits
        self._held_bytes = 0
        self._unparsed_bytes = 0
        self._skipped_bytes = 0
        self._interim_heads = 0
        self._transport = None
        self._parser = None
        self._fields = []
        self._parts = []
        self._waiter = None
        self._head = None
        self._is_skipped = False
        self._is_close_delimited = False
        self._is_complete = False
        self._is_ended = False
        self._error = None
        self._id_field = None
        self._call_id = None
        self._has_unsolicited = False
        self._must_close = False
        self._sent_ids = set()
        self._requests = 0
        self._is_writable = asyncio.Event()
        self._is_writable.set()
        self.is_reusable = False
        self.is_closed = False
        self.idle_since = 0.0
        self.idle_timeout = None
        self.owner = None
        self.on_late_head = None
        self.on_unsolicited = lambda cause, is_cut: None

    @property
    def is_close_delimited(self):
        """Return whether the response ends with its connection."""
        return self._is_close_delimited

    def is_silent(self):
        """Return whether nothing has arrived on the idle connection, read or unread."""
        data = None if self.is_closed else unread_data(self._transport)
        if data:
            self._note_unsolicited(Unsolicited.IDLE_DATA)
        return data is None and not self.is_closed

    def has_sent(self, call_id):
        """Return whether a request with this id was sent on this connection."""
        return hash(call_id) in self._sent_ids

    def connection_made(self, transport):
        """Enable the detection of a dead peer."""
        self._transport = transport
        detect_dead_peer(transport)

    def connection_lost(self, exc):
        """Complete a response that ends with the connection; fail any other."""
        self.is_closed = True
        self.is_reusable = False
        self._is_writable.set()
        is_cut, self._is_ended = self._is_ended, False
        if self._is_close_delimited and exc is None and not is_cut:
            self._complete()
        elif not self._is_complete:
            self._fail(f"connection lost: {exc!r}")

    def eof_received(self):
        """Complete a response that ends with the connection.

        Before the upstream's host has taken the whole request, a reset may follow,
        which shows that the response was cut off.
        """
        self.is_closed = True
        if not self._is_close_delimited:
            return False
        if self._has_taken_request():
            self._complete()
            return False
        self._is_ended = True
        asyncio.get_running_loop().call_later(CHECK_SECONDS, self._check_taken)
        return True

    def _has_taken_request(self):
        is_sent = not self._transport.get_write_buffer_size()
        return is_sent and not unacknowledged_bytes(self._transport)

    def _check_taken(self):
        """Complete an ended response once the request has been taken."""
        is_lost = self._transport.is_closing()  # which `connection_lost` is told next
        if is_lost or not self._is_ended or self._error is not None:
            return
        if error := pending_error(self._transport):
            # The event loop doesn't watch a connection whose peer has ended its side.
            self._fail(f"connection lost: {error}")
            self.close()
        elif self._has_taken_request():
            self._is_ended = False
            self._complete()
            self._transport.close()
        else:
            asyncio.get_running_loop().call_later(CHECK_SECONDS, self._check_taken)

    def pause_writing(self):
        """Record that the write buffer is full."""
        self._is_writable.clear()

    def resume_writing(self):
        """Record that the write buffer has room again."""
        self._is_writable.set()

    def data_received(self, data):
        """Parse response data; other data makes the connection unusable."""
        if self._parser is None:
            self._note_unsolicited(Unsolicited.IDLE_DATA)
            self._read_stray(data)
            self.close()
            return
        if self._is_complete:
            self._note_extra_data()
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("the upstream switched protocols")
        except httptools.HttpParserError as error:
            is_cut = self._error is None and not self._is_complete
            cause = Unsolicited.NOT_HTTP if is_cut else Unsolicited.EXTRA_DATA
            self._note_unsolicited(cause, is_cut)
            self._fail(f"invalid response: {error}")
            self.close()
        if self._unparsed_bytes > self._limits.head_bytes:
            most = self._limits.head_bytes
            self._fail_too_large(f"over {most} bytes of a head or between chunks")
        if self._held_bytes > self._limits.held_bytes:
            self._transport.pause_reading()

    def _read_stray(self, data):
        """Read the heads of responses that arrive on an idle connection."""
        self._head = None
        self._id_field, self._call_id = "", ""
        self._parser = httptools.HttpResponseParser(self)
        with suppress(httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._parser.feed_data(data)

    def send(self, head, body, id_field=None, call_id=None):
        """Write a request; its response is the first with `call_id` in `id_field`.

        Without an `id_field`, it is the first response.
        """
        self._requests += 1
        if call_id is not None:
            self._sent_ids.add(hash(call_id))
        self.is_reusable = False
        self._head = None
        self._parts.clear()
        self._held_bytes = 0
        self._unparsed_bytes = 0
        self._skipped_bytes = 0
        self._interim_heads = 0
        self._is_complete = False
        self._is_close_delimited = False
        self._is_ended = False
        self._error = None
        self._id_field, self._call_id = id_field, call_id
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(head + body if body else head)

    async def head(self) -> ResponseHead:
        """Return the head of the response; raise `HttpCallError` if there is none."""
        while self._head is None:
            self._check()
            await self._wait()
        return self._head

    async def next_part(self):
        """Return the bytes of the body that have arrived, or no bytes at its end.

        Small parts that came together are passed on together.
        """
        while not self._parts:
            if self._is_complete:
                return b""
            self._check()
            await self._wait()
        data = b"".join(self._parts)
        self._parts.clear()
        self._held_bytes = 0
        self._transport.resume_reading()
        return data

    async def body(self):
        """Return the whole body.

        Raises `HttpCallError` if it is incomplete, `AnswerTooLargeError` if it has more
        bytes than the limit or declares so.
        """
        most = self._limits.body_bytes
        declared = self._head.headers.get("content-length") if self._head else None
        if declared and declared.isdecimal() and int(declared) > most:
            self._fail_too_large(f"body of {declared} bytes, over {most}")
        parts, size = [], 0
        while data := await self.next_part():
            parts.append(data)
            size += len(data)
            if size > most:
                self._fail_too_large(f"body over {most} bytes")
                self._check()
        return b"".join(parts)

    def close(self):
        """Reset the connection, which lets the upstream cancel the request."""
        self.is_closed = True
        self.is_reusable = False
        self._transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self):
        """Mark the connection as not reusable if a second response begins."""
        if self._head is not None:
            self.is_reusable = False
            if self._is_complete:
                self._note_extra_data()
        self._fields = []

    def on_header(self, name, value):
        """Collect a header field, or a field after a chunked body."""
        self._unparsed_bytes = 0
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))
        if len(self._fields) > self._limits.fields:
            self._fail_too_large(f"over {self._limits.fields} header fields")

    def on_headers_complete(self):
        """Store the head of the expected response; skip any other message."""
        self._unparsed_bytes = 0
        status = self._parser.get_status_code()
        headers = Headers(tuple(self._fields))
        if self._head is not None or self._error is not None:
            self._is_skipped = True
            self._report_late(status, headers)
            return
        if 100 <= status < 200:
            self._is_skipped = True
            self._interim_heads += 1
            if self._interim_heads > self._limits.interim_heads:
                self._fail_too_large(f"over {self._limits.interim_heads} interim heads")
            return
        answer_id = headers.get(self._id_field) if self._id_field else None
        self._is_skipped = self._id_field is not None and answer_id != self._call_id
        if self._is_skipped:
            self._must_close = True
            self._report_late(status, headers)
            self._note_other_response(status, answer_id)
            return
        if not is_final_status(status):
            self._note_unsolicited(Unsolicited.NOT_HTTP, is_cut=True)
            self._fail(f"{status} is no status of a response")
            self.close()
            return
        self._is_close_delimited = (
            status not in _BODYLESS_STATUSES
            and headers.get("content-length") is None
            and "chunked" not in headers.tokens("transfer-encoding")
        )
        self._head = ResponseHead(status, headers)
        self._wake()

    def on_body(self, body):
        """Store a part of the expected response's body."""
        self._unparsed_bytes = 0
        if not self._is_skipped:
            self._parts.append(body)
            self._held_bytes += len(body)
            self._wake()
            return
        self._skipped_bytes += len(body)
        if self._skipped_bytes > self._limits.body_bytes:
            self._fail_too_large(f"skipped over {self._limits.body_bytes} bytes")

    def on_message_complete(self):
        """Complete the response, unless the message is skipped."""
        if self._is_skipped:
            self._is_skipped = False
            return
        self.is_reusable = self._parser.should_keep_alive() and not self._must_close
        self._complete()

    def release(self, now):
        """Prepare for the next request; close if the connection can't be reused.

        Return whether it can be reused.
        """
        is_spent = self._requests >= MAX_REQUESTS
        if self.is_reusable and not (self._parts or self.is_closed or is_spent):
            self._parser = None
            self.idle_since = now
            return not self._must_close
        self.close()
        return False

    def _note_unsolicited(self, cause, is_cut=False):
        """Report data that matches no request, once for each connection."""
        if not self._has_unsolicited:
            self._has_unsolicited = True
            self.on_unsolicited(cause, is_cut)

    def _note_extra_data(self):
        self._must_close = True
        self._note_unsolicited(Unsolicited.EXTRA_DATA)

    def _note_other_response(self, status, answer_id):
        """Report a response to another request; one without an id ends the exchange.

        The own response usually follows one to another request.
        """
        if answer_id is not None:
            self._note_unsolicited(Unsolicited.OTHER_ID)
            return
        self._note_unsolicited(Unsolicited.NO_ID, is_cut=True)
        self._error = UnmatchedAnswerError(f"response {status} without an id")
        self._wake()
        self.close()

    def _report_late(self, status, headers):
        if self.on_late_head is not None and is_final_status(status):
            self.on_late_head(ResponseHead(status, headers))

    def _complete(self):
        self._is_complete = self._error is None
        self._wake()

    def _fail(self, reason):
        if self._error is None and not self._is_complete:
            self._error = HttpCallError(reason)
        self._wake()

    def _fail_too_large(self, reason):
        if self._error is None:
            self._error = AnswerTooLargeError(reason)
        self._parts.clear()
        self._wake()
        self.close()

    def _check(self):
        if self._error:
            raise self._error

    def _wake(self):
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
