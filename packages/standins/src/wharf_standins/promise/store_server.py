"""The platform's store over the connections of a play."""

import asyncio
from contextlib import suppress

from wharf_gateway.http.http_call_error import HttpCallError
from wharf_standins.restorable_store import RestorableStore

__all__ = ["ADDRESS", "StoreServer"]

ADDRESS = "10.9.9.9:80"


class StoreServer:
    """Answer calls to a `RestorableStore`, which is `store`."""

    def __init__(self):
        self.store = RestorableStore()

    async def start(self):
        """Listen."""
        host, _, port = ADDRESS.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError, HttpCallError):
            while True:
                await self._answer(reader, writer)
        writer.transport.abort()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *lines = head.split("\r\n")
        fields = dict(text.lower().split(": ", 1) for text in lines if text)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        method, path, _ = line.split(" ")
        reply, content = await self.store.answer("", method, path, body)
        sent = [f"HTTP/1.1 {reply.status} OK", f"Content-Length: {len(content)}"]
        sent += [f"{name}: {value}" for name, value in reply.headers.fields]
        writer.write("\r\n".join((*sent, "", "")).encode() + content)
        await writer.drain()
