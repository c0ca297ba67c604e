"""A caller with one connection, which may send, read and leave as it likes."""

import asyncio
from contextlib import suppress

__all__ = ["Caller"]


class Caller:
    """Send requests on one connection and read their responses in order."""

    def __init__(self, port, customer):
        self._port = port
        self._customer = customer
        self._last_answered_at = 0.0
        self.has_left = False

    async def connect(self):
        """Open the connection; return whether the entry has accepted it."""
        try:
            opened = await asyncio.open_connection("127.0.0.1", self._port)
        except OSError:
            return False
        self._reader, self._writer = opened
        return True

    async def exchange(self, exchanges, pause, read_pause):
        """Send all requests at once and read the responses.

        The caller waits for `pause` seconds in the midst of the last body, and for
        `read_pause` seconds before it reads the first response.
        """
        try:
            await self._send(exchanges, pause)
            await asyncio.sleep(read_pause)
            for index, exchange in enumerate(exchanges):
                exchange.slow = pause + read_pause
                exchange.read_by = max(exchange.read_by, self._last_answered_at)
                await self._read(exchange)
                self._last_answered_at = exchange.answered_at
                if exchange.is_last:
                    for unread in exchanges[index + 1 :]:
                        unread.is_unread = True
                    return
        except (OSError, EOFError):
            # What came until then is in the exchange.
            return

    def leave(self, exchanges, half):
        """Close the connection, or only its sending side."""
        self.has_left = True
        for exchange in exchanges:
            exchange.left = exchange.left or not exchange.is_whole
        if half:
            with suppress(OSError):
                self._writer.write_eof()
        else:
            self._writer.close()

    def close(self):
        """Close the connection."""
        self._writer.close()

    async def _send(self, exchanges, pause):
        *earlier, last = exchanges
        for exchange in earlier:
            self._write_whole(exchange)
        body = last.body()
        last.read_by = self._now()
        self._writer.write(last.head(self._customer) + body[:1])
        if pause:
            await asyncio.sleep(pause)
        if self.has_left:
            return
        self._writer.write(body[1:])
        await self._writer.drain()
        if not self._writer.is_closing():
            last.sent_at = self._now()

    def _write_whole(self, exchange):
        self._writer.write(exchange.head(self._customer) + exchange.body())
        exchange.read_by = exchange.sent_at = self._now()

    async def _read(self, exchange):
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        exchange.status = int(first.split()[1])
        headers = dict(line.lower().split(": ", 1) for line in lines if line)
        exchange.request_id = headers.get("request-id", "")
        exchange.is_last = headers.get("connection") == "close"
        if "content-length" in headers:
            body = await self._reader.readexactly(int(headers["content-length"]))
            exchange.text = body.decode()
        else:
            await self._read_chunks(exchange)
        exchange.is_whole = True
        exchange.answered_at = self._now()

    async def _read_chunks(self, exchange):
        while True:
            line = await self._reader.readuntil(b"\r\n")
            size = int(line, 16)
            chunk = await self._reader.readexactly(size + 2)
            exchange.text += chunk[:-2].decode()
            if not size:
                return

    def _now(self):
        return asyncio.get_running_loop().time()
