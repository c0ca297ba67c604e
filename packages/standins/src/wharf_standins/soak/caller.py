"""A caller that keeps its connection until the gateway closes it."""

import asyncio
from contextlib import suppress

from wharf_adapter import names
from wharf_standins.soak.call import Call, CallKind, Ending
from wharf_standins.soak.wire import caller_head

__all__ = ["SoakCaller"]

DEADLINE_SECONDS = 3.0
GRACE_SECONDS = 0.7  # within which a late refusal must still come


class SoakCaller:
    """Send one request after another to a gateway; `new_call(kind, gateway)` makes
    them, and `is_calm(since)` says whether only planned work went on since then."""

    def __init__(self, gateway, rng, new_call, is_calm, clock):
        self._gateway = gateway
        self._rng = rng
        self._new_call = new_call
        self._is_calm = is_calm
        self._clock = clock
        self._stream = None

    async def run(self):
        """Send requests until cancelled."""
        while True:
            await self.ask(self._rng.choice(list(CallKind)))
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def ask(self, kind) -> Call:
        """Send one request and take its answer."""
        call = self._new_call(kind, self._gateway.name)
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + GRACE_SECONDS):
                if await self._connect(call):
                    await self._exchange(call)
        except TimeoutError:
            self._close()
        except (OSError, asyncio.IncompleteReadError):
            call.ending = Ending.CUT
            self._close()
        call.ended_at = self._clock()
        call.is_calm = self._is_calm(call.sent_at)
        if call.ending is Ending.UNCONNECTED:
            await asyncio.sleep(0.1)
        return call

    async def _connect(self, call):
        """Return whether there is a connection; one that was closed is replaced."""
        if self._stream is not None and not self._stream[0].at_eof():
            return True
        self._close()
        host, _, port = self._gateway.address.rpartition(":")
        try:
            self._stream = await asyncio.open_connection(host, int(port))
        except OSError:
            call.ending = Ending.UNCONNECTED
            return False
        return True

    async def _exchange(self, call):
        reader, writer = self._stream
        body = b"q" * 20
        writer.write(
            caller_head(call.id, call.kind, DEADLINE_SECONDS, len(body)) + body
        )
        await writer.drain()
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except asyncio.IncompleteReadError as error:
            # A request that crosses the close of a kept connection wasn't read.
            is_crossing = not error.partial and not call.runs
            call.ending = Ending.UNCONNECTED if is_crossing else Ending.CUT
            self._close()
            return
        first, *lines = head.split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines if line)
        call.status = int(first.split()[1])
        call.is_signed = names.SIGNATURE.lower() in fields
        if fields.get("transfer-encoding") == "chunked":
            await self._read_chunks(reader, call)
        else:
            length = int(fields.get("content-length", 0))
            call.body = await reader.readexactly(length)
        call.ending = Ending.WHOLE
        if fields.get("connection") == "close":
            self._close()

    async def _read_chunks(self, reader, call):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            call.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)

    def _close(self):
        if self._stream is not None:
            with suppress(OSError):
                self._stream[1].close()
        self._stream = None
