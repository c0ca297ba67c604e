"""A client that reuses its connection until the gateway closes it."""

import asyncio
from contextlib import suppress

from wharf_adapter import names
from wharf_standins.soak.request import (
    DIRECT_KINDS,
    NOT_RUN_STATUSES,
    RequestKind,
    ResponseState,
    SoakRequest,
)
from wharf_standins.soak.wire import request_head

__all__ = ["PAUSE_SECONDS", "SoakClient"]

PAUSE_SECONDS = 0.05  # between requests, at most
REFUSED_PAUSE_SECONDS = 0.4
GRACE_SECONDS = 0.7  # a response after the deadline must arrive within this time


class SoakClient:
    """Send requests of some kinds to one gateway, one at a time.

    `new_request(kind, gateway_name)` creates each request;
    `is_undisturbed(since)` returns whether no unplanned fault had effect since then.
    It pauses for up to `pause_seconds` between requests.
    """

    def __init__(
        self,
        gateway,
        rng,
        new_request,
        is_undisturbed,
        clock,
        kinds=DIRECT_KINDS,
        pause_seconds=PAUSE_SECONDS,
    ):
        self._gateway = gateway
        self._rng = rng
        self._new_request = new_request
        self._is_undisturbed = is_undisturbed
        self._clock = clock
        self._kinds = kinds
        self._pause_seconds = pause_seconds
        self._stream = None

    async def run(self):
        """Send requests until cancelled, then close the connection."""
        try:
            while True:
                request = await self.send(self._rng.choice(self._kinds))
                is_refused = request.status in NOT_RUN_STATUSES
                most = REFUSED_PAUSE_SECONDS if is_refused else self._pause_seconds
                await asyncio.sleep(self._rng.uniform(0.0, most))
        finally:
            self.close()

    async def probe(self, features, stopped):
        """Show which configuration is in force, until `stopped` is set.

        `features()` returns the routes and keys of all versions.
        """
        while not stopped.is_set():
            await self.send(RequestKind.SAFE, self._rng.choice(features()))
            await asyncio.sleep(self._rng.uniform(0.0, self._pause_seconds))
        self.close()

    async def send(self, kind, feature=None) -> SoakRequest:
        """Send one request, record its response in it and return it."""
        request = self._new_request(kind, self._gateway.name)
        request.feature = feature
        request.incarnation = self._gateway.incarnation
        try:
            async with asyncio.timeout(kind.deadline_seconds + GRACE_SECONDS):
                if await self._connect(request):
                    await self._exchange(request)
        except TimeoutError:
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            request.state = ResponseState.TRUNCATED
            self.close()
        request.ended_at = self._clock()
        request.is_undisturbed = self._is_undisturbed(request.sent_at)
        if request.state is ResponseState.NOT_CONNECTED:
            await asyncio.sleep(0.1)
        return request

    async def _connect(self, request):
        """Connect if there is no open connection; return whether there is one."""
        if self._stream is not None and not self._stream[0].at_eof():
            return True
        self.close()
        host, _, port = self._gateway.address.rpartition(":")
        try:
            self._stream = await asyncio.open_connection(host, int(port))
        except OSError:
            request.state = ResponseState.NOT_CONNECTED
            return False
        return True

    async def _exchange(self, request):
        reader, writer = self._stream
        body = b"q" * 20
        writer.write(request_head(request, len(body)) + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        status_line, *lines = head.split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines if line)
        request.status = int(status_line.split()[1])
        request.is_signed = names.SIGNATURE.lower() in fields
        if fields.get("transfer-encoding") == "chunked":
            await self._read_chunks(reader, request)
        else:
            length = int(fields.get("content-length", 0))
            request.body = await reader.readexactly(length)
        request.state = ResponseState.COMPLETE
        if fields.get("connection") == "close":
            self.close()

    async def _read_chunks(self, reader, request):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            request.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)

    def close(self):
        """Close the connection if there is one."""
        if self._stream is not None:
            with suppress(OSError):
                self._stream[1].close()
        self._stream = None
