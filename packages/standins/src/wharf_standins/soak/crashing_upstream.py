"""An upstream that crashes as it begins to answer certain requests."""

import asyncio
from contextlib import suppress

from wharf_adapter import names
from wharf_standins.soak.wire import ENGINES, event, read_request

__all__ = ["CrashingUpstream"]

READ_SECONDS = 0.02
EVENTS = 3


class CrashingUpstream:
    """Answer streams; crash on those whose prompt has `deadly_part`.

    A crash closes all connections after the head of the answer, and nothing listens for
    `down_seconds`. `crashed_at` has the loop's times of its crashes.
    """

    service = ENGINES

    def __init__(self, name, deadly_part, down_seconds):
        self.name = name
        self.crashed_at = []
        self._deadly_part = deadly_part
        self._down_seconds = down_seconds
        self._writers = set()
        self._port = 0
        self._server = None
        self._restart = None

    async def start(self):
        """Listen on loopback, after the first start on the same port; return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        return self._port

    def stop(self):
        """Stop listening."""
        self._server.close()
        if self._restart is not None:
            self._restart.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._answer(reader, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, reader, writer):
        _, fields, _ = await read_request(reader)
        request_id = fields[names.ATTEMPT_ID.lower()]
        prompt = fields[names.PROMPT.lower()]
        await asyncio.sleep(READ_SECONDS)
        writer.write(
            f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {request_id}\r\n"
            f"{names.SIGNATURE}: 1\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        await writer.drain()
        await asyncio.sleep(READ_SECONDS)
        if self._deadly_part in prompt:
            self._crash()
            return
        for number in range(EVENTS):
            part = event(request_id, number)
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            await asyncio.sleep(READ_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _crash(self):
        self.crashed_at.append(asyncio.get_running_loop().time())
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._restart = asyncio.ensure_future(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(self._down_seconds)
        await self.start()
