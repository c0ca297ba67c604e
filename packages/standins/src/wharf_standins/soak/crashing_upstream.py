"""An upstream that crashes as it begins to answer certain requests."""

import asyncio

from wharf_adapter import names
from wharf_standins.soak.loopback_server import LoopbackServer
from wharf_standins.soak.wire import ENGINES, event, read_request

__all__ = ["CrashingUpstream"]

READ_SECONDS = 0.02
EVENTS = 3


class CrashingUpstream(LoopbackServer):
    """Answer streams; crash on those whose prompt has `deadly_part`.

    A crash closes all connections after the head of the answer, and nothing listens for
    `down_seconds`. `crashed_at` has the loop's times of its crashes.
    """

    service = ENGINES

    def __init__(self, name, deadly_part, down_seconds):
        super().__init__()
        self.name = name
        self.crashed_at = []
        self._deadly_part = deadly_part
        self._down_seconds = down_seconds
        self._restart = None

    def stop(self):
        """Close the server for good and release its address."""
        super().stop()
        if self._restart is not None:
            self._restart.cancel()

    async def answer(self, reader, writer):
        """Answer one request, or crash."""
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
        self.close()
        self._restart = asyncio.ensure_future(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(self._down_seconds)
        await self.start()
