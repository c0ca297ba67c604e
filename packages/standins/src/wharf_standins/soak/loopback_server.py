"""A server on loopback."""

import asyncio
from contextlib import suppress

__all__ = ["LoopbackServer"]


class LoopbackServer:
    """Accept connections, and answer their requests one at a time.

    Subclasses define the coroutine `answer(reader, writer)`, which reads and answers
    one request. `address` is known once the server has started.
    """

    def __init__(self):
        self._port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """Return the address at which the server listens."""
        return f"127.0.0.1:{self._port}"

    async def start(self):
        """Listen, after the first start on the same port; return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        return self._port

    def stop(self):
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
