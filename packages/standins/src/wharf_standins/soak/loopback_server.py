"""A server on loopback."""

import asyncio
from contextlib import suppress

from wharf_standins.reserved_addresses import ReservedAddresses

__all__ = ["LoopbackServer"]


class LoopbackServer:
    """Accept connections, and answer their requests one at a time.

    Subclasses define the coroutine `answer(reader, writer)`, which reads and answers
    one request. `address` is known once the server has started, and kept until it is
    stopped.
    """

    def __init__(self):
        self.address = None
        self._addresses = ReservedAddresses()
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen, after `close` on the same port; return the port."""
        if self.address is None:
            self.address = self._addresses.take()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        return int(port)

    def stop(self):
        """Close the server and release its address."""
        self.close()
        self._addresses.release()
        self.address = None

    def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self.answer(reader, writer)
        self._writers.discard(writer)
        writer.close()
