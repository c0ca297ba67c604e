"""Writing of one response to a caller."""

from wharf_gateway.http.headers import Headers
from wharf_gateway.http.status import status_line

__all__ = ["Responder"]


LARGE_BODY_BYTES = 64 << 10  # from which a copy costs more than another write


class Responder:
    """Write the response to one request, at once or as a chunked stream.

    `is_over` says that the response is complete, or was begun and then cut.
    """

    def __init__(self, connection, keep_alive):
        self._connection = connection
        self.keep_alive = keep_alive
        self.is_started = False
        self.is_over = False
        self.status = None
        self.body_bytes = 0

    def reserve(self, size):
        """Return whether there is memory for an answer of about `size` bytes."""
        return size <= LARGE_BODY_BYTES or self._connection.reserve_answer(size)

    def answer(self, status, headers=None, body=b""):
        """Write a complete response."""
        headers = headers or Headers()
        self.body_bytes = len(body)
        self._write_head(status, headers.plus(("Content-Length", str(len(body)))), body)
        self.is_over = True
        if not self.keep_alive:
            self._connection.close_after_response()

    def begin(self, status, headers):
        """Write the head of a chunked response."""
        self._write_head(status, headers.plus(("Transfer-Encoding", "chunked")))

    async def send(self, data):
        """Write one chunk; wait while the write buffer is full."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self._connection.drain()

    def end(self):
        """Write the end of a chunked response."""
        self._connection.write(b"0\r\n\r\n")
        self.is_over = True
        if not self.keep_alive:
            self._connection.close_after_response()

    def abort(self):
        """End the connection, so that the caller sees an incomplete response."""
        self.keep_alive = False
        self.is_over = self.is_started
        self._connection.abort()

    def _write_head(self, status, headers, body=b""):
        self.keep_alive = self.keep_alive and not self._connection.is_last_response
        if not self.keep_alive:
            self._connection.stop_reading()
            headers = headers.plus(("Connection", "close"))
        lines = [status_line(status), *(f"{k}: {v}" for k, v in headers.fields)]
        head = "\r\n".join((*lines, "", "")).encode("latin-1")
        self.is_started = True
        self.status = status
        if len(body) <= LARGE_BODY_BYTES:
            self._connection.write(head + body)
        else:
            self._connection.write(head)
            self._connection.write(memoryview(body))
