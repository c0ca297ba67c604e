"""Sending of an answer's parts, several in one frame where they come fast."""

import asyncio
from collections import deque
from contextlib import suppress

from websockets.exceptions import ConnectionClosed

from wharf_coordination import SendWindow, chunk_cost
from wharf_wire import Chunk
from wharf_wire.limits import CHUNK_BYTES, MAX_PARTS_PER_CHUNK

__all__ = ["ChunkSender"]


class ChunkSender:
    """Send parts in frames at least `gather_seconds` apart, the first at once.

    The end of the answer or a full frame cuts the delay short.
    """

    def __init__(self, call, send, gather_seconds):
        self._gather_seconds = gather_seconds
        self.sequence = call.resume_from
        self._attempt = call.attempt
        self._loop = asyncio.get_running_loop()
        self._send = send
        self._window = SendWindow()
        self._credited = asyncio.Event()
        self._bodies = deque()
        self._size = 0
        self._next_at = 0.0
        self._timer = None
        self._late_flush = None
        self._sending = asyncio.Lock()

    def credit(self, cost):
        """Allow more of the answer to be sent."""
        self._window.credit(cost)
        self._credited.set()

    async def add(self, body):
        """Take one part; wait while the entry reads too slowly."""
        if self._size + len(body) > CHUNK_BYTES:
            await self.flush()
        self._bodies.append(body)
        self._size += len(body)
        delay = self._next_at - self._loop.time()
        if delay <= 0 or len(self._bodies) >= MAX_PARTS_PER_CHUNK:
            await self.flush()
        elif self._timer is None:
            self._timer = self._loop.call_later(delay, self._on_timer)

    async def flush(self):
        """Send all parts that wait, as the entry's credit allows."""
        self._stop_timer()
        async with self._sending:
            while self._bodies:
                while not self._window.is_open:
                    self._credited.clear()
                    await self._credited.wait()
                await self._send_parts()

    def close(self):
        """Drop what waits and send nothing more."""
        self._stop_timer()
        self._bodies.clear()
        if self._late_flush is not None:
            self._late_flush.cancel()

    async def _send_parts(self):
        first, *more = self._take_parts()
        chunk = Chunk(self._attempt, self.sequence, first, tuple(more))
        self.sequence += len(chunk.bodies)
        self._next_at = self._loop.time() + self._gather_seconds
        await self._send(chunk)

    def _take_parts(self):
        taken = []
        while self._bodies and self._window.is_open:
            body = self._bodies.popleft()
            self._size -= len(body)
            self._window.sent(chunk_cost(body))
            taken.append(body)
        return taken

    def _on_timer(self):
        self._timer = None
        self._late_flush = asyncio.ensure_future(self._flush_quietly())

    async def _flush_quietly(self):
        with suppress(ConnectionClosed):
            await self.flush()

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
