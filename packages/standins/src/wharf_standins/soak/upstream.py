"""An upstream that reports which requests it runs."""

import asyncio
from contextlib import suppress

from wharf_adapter import names
from wharf_standins.soak.wire import EVENTS, event, response_body

__all__ = ["SoakUpstream"]

WORK_SECONDS = 0.03
EVENT_INTERVAL_SECONDS = 0.02
SIGNATURE = f"{names.SIGNATURE}: soak"


class SoakUpstream:
    """Answer on loopback; call `record_run(upstream, request_id)` as a run begins.

    `rate_limit`, if set, is named in the answers, in requests a second.
    """

    def __init__(self, name, record_run):
        self.name = name
        self._record_run = record_run
        self._server = None
        self.rate_limit = None

    async def start(self):
        """Listen on loopback and return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader, writer):
        request_head = (await reader.readuntil(b"\r\n\r\n")).decode()
        request_line, *lines = request_head.split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        request_id = fields[names.ATTEMPT_ID.lower()]
        if fields.get(names.EXPECTED_UPSTREAM.lower()) != self.name:
            text = f"HTTP/1.1 421 Other\r\n{names.NOT_RUN}: 1\r\n"
            writer.write(f"{text}Content-Length: 0\r\n\r\n".encode())
            return
        self._record_run(self, request_id)
        await asyncio.sleep(WORK_SECONDS)
        head = f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {request_id}\r\n{SIGNATURE}\r\n"
        if self.rate_limit is not None:
            head += f"{names.LIMIT}: {self.rate_limit}\r\n"
        if " /stream/" not in request_line:
            data = response_body(request_id)
            writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            return
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(EVENTS):
            part = event(request_id, number)
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
