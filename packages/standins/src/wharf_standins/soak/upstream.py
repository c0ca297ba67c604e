"""An upstream that runs requests and remembers which."""

import asyncio
from contextlib import suppress

from wharf_adapter import names
from wharf_standins.soak.wire import EVENTS, answer_body, event

__all__ = ["SoakUpstream"]

WORK_SECONDS = 0.03
PAUSE_SECONDS = 0.02  # between events
STAMP = f"{names.SIGNATURE}: soak"


class SoakUpstream:
    """Answer on loopback; `note_run(id)` is told when a request begins to run."""

    def __init__(self, name, note_run):
        self.name = name
        self._note_run = note_run
        self._server = None

    async def start(self):
        """Listen, and return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Take no more connections."""
        self._server.close()

    async def _serve(self, reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        call_id = fields[names.ATTEMPT_ID.lower()]
        if fields.get(names.EXPECTED_UPSTREAM.lower()) != self.name:
            text = f"HTTP/1.1 421 Other\r\n{names.NOT_RUN}: 1\r\n"
            writer.write(f"{text}Content-Length: 0\r\n\r\n".encode())
            return
        self._note_run(self, call_id)
        await asyncio.sleep(WORK_SECONDS)
        common = f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {call_id}\r\n{STAMP}\r\n"
        if " /stream/" not in first:
            data = answer_body(call_id)
            writer.write(f"{common}Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            return
        writer.write(f"{common}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(EVENTS):
            part = event(call_id, number)
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
