"""Closing of a connection whose peer may still be sending."""

import asyncio
from contextlib import suppress

__all__ = ["LingeringClose"]

# How long, and for how many bytes, the peer may go on before the connection closes.
LINGER_SECONDS = 2.0
LINGER_BYTES = 8 << 20


class LingeringClose:
    """Stop writing, drop what still arrives, and close after a limit.

    A connection that is closed with unread bytes is reset, and the peer may lose what
    was sent to it last. It usually closes its own side first.
    """

    def __init__(self, transport):
        self._transport = transport
        self._dropped_bytes = 0
        transport.resume_reading()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGER_SECONDS, transport.close)
        with suppress(OSError):  # the peer has reset the connection
            transport.write_eof()

    def data_received(self, data):
        """Drop received bytes; close the connection if they are too many."""
        self._dropped_bytes += len(data)
        if self._dropped_bytes > LINGER_BYTES:
            self._transport.close()

    def connection_lost(self):
        """Forget the limit, since the connection is closed."""
        self._timer.cancel()
