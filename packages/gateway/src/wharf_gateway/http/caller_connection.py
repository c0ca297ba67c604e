"""The server's side of one HTTP/1.1 connection from a caller."""

import asyncio

import httptools

from wharf_gateway.http.headers import Headers
from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.http.responder import Responder
from wharf_gateway.http.socket_options import detect_silence

__all__ = ["CallerConnection"]

# Bytes of a next request that are kept while the one before is answered.
PIPELINE_BYTES = 65536


class CallerConnection(asyncio.Protocol):
    """Parse one request at a time and hand it to `site.handle`.

    `site` offers `limits` (bytes and seconds), `handle(request, responder)`,
    `closing` and `connections`, the set of those that are open.
    """

    def __init__(self, site):
        self._site = site
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._parser = None
        self._task = None
        self._timer = None
        self._request = None
        self._fields = []
        self._target = b""
        self._head_bytes = 0
        self._backlog = bytearray()
        self._is_writable = asyncio.Event()
        self._is_writable.set()
        self._is_message_complete = False
        self._is_rejected = False
        self.address = None

    def connection_made(self, transport):
        """Begin to wait for a request."""
        self._transport = transport
        self.address = transport.get_extra_info("peername")
        detect_silence(transport)
        self._site.connections.add(self)
        self._await_request(self._site.limits.header_timeout)

    def connection_lost(self, exc):
        """Give up what runs for the caller."""
        self._site.connections.discard(self)
        self._cancel_timer()
        self._is_writable.set()
        if self._task and not self._task.done():
            self._task.cancel()

    def eof_received(self):
        """Take an end of input for the caller's leaving."""
        return False

    def pause_writing(self):
        """Note that the caller reads more slowly than it is written to."""
        self._is_writable.clear()

    def resume_writing(self):
        """Note that the caller reads again."""
        self._is_writable.set()

    async def drain(self):
        """Wait until more can be written."""
        await self._is_writable.wait()

    def data_received(self, data):
        """Parse, or keep for later what belongs to a next request."""
        if self._is_rejected:
            return
        if self._is_message_complete:
            self._backlog += data
            if len(self._backlog) > PIPELINE_BYTES:
                self._transport.pause_reading()
            return
        self._feed(data)

    @property
    def is_idle(self):
        """Return whether no request is being read or answered."""
        return self._request is None and self._head_bytes == 0

    def close(self):
        """Close the connection after what has been written."""
        self._transport.close()

    def abort(self):
        """Reset the connection, so that an answer can't look complete."""
        self._transport.abort()

    # Callbacks of the parser.

    def on_url(self, url):
        """Collect the request's target."""
        self._target += url

    def on_header(self, name, value):
        """Collect a header field."""
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Start the answer; the body may still be on its way."""
        self._head_bytes = 0
        headers = Headers(tuple(self._fields))
        self._request = InboundRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            headers,
            self._loop.time(),
        )
        length = headers.get("content-length", "0")
        if length.isdecimal() and int(length) > self._site.limits.max_body_bytes:
            self._request.too_large = True
            self._request.body_complete.set()
        if "100-continue" in headers.tokens("expect"):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._cancel_timer()
        self._task = self._loop.create_task(self._answer(self._request))

    def on_body(self, body):
        """Collect the request's body."""
        request = self._request
        if request.too_large:
            return
        request.body += body
        if len(request.body) > self._site.limits.max_body_bytes:
            request.too_large = True
            request.body_complete.set()

    def on_message_complete(self):
        """Let the handler use the body."""
        self._is_message_complete = True
        self._request.body_complete.set()

    def _feed(self, data):
        if self._parser is None:
            self._begin_message()
        if self._request is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject(400)
            return
        if self._head_bytes > self._site.limits.max_header_bytes:
            self._reject(431)

    def _begin_message(self):
        self._parser = httptools.HttpRequestParser(self)
        self._fields = []
        self._target = b""
        self._head_bytes = 0
        self._is_message_complete = False
        self._await_request(self._site.limits.header_timeout)

    def _reject(self, status):
        self._is_rejected = True
        if self._request is None:
            Responder(self, keep_alive=False).answer(status)
            return
        if self._task and not self._task.done():
            self._task.cancel()
        self._transport.close()

    def _await_request(self, seconds):
        self._cancel_timer()
        self._timer = self._loop.call_later(seconds, self._expire)

    def _cancel_timer(self):
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _expire(self):
        if self._request is not None:
            return
        if self._parser is not None:
            self._is_rejected = True
            Responder(self, keep_alive=False).answer(408)
        else:
            self._transport.close()

    async def _answer(self, request):
        keep_alive = self._parser.should_keep_alive()
        responder = Responder(self, keep_alive=keep_alive, site=self._site)
        await self._site.handle(request, responder)
        self._finish(responder)

    def _finish(self, responder):
        if not self._is_message_complete or not responder.keep_alive:
            self._transport.close()
            return
        self._request = None
        self._parser = None
        self._task = None
        self._is_message_complete = False
        self._await_request(self._site.limits.idle_timeout)
        if self._backlog:
            data = bytes(self._backlog)
            self._backlog.clear()
            self._transport.resume_reading()
            self._feed(data)

    def write(self, data):
        """Write bytes unless the caller has gone."""
        if not self._transport.is_closing():
            self._transport.write(data)
