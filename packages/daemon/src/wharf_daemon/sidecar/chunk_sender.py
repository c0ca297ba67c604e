"""Batched sending of an answer's parts."""

import asyncio
from collections import deque
from contextlib import suppress

from websockets.exceptions import ConnectionClosed

from wharf_coordination import SendWindow, chunk_cost
from wharf_wire import Chunk
from wharf_wire.limits import CHUNK_BYTES, MAX_PARTS_PER_CHUNK

__all__ = ["ChunkSender"]


class ChunkSender:
    """Batch parts into frames that are sent at most every `gather_seconds`.

    The first part is sent immediately, and so are full frames and the rest at the
    end of the answer.
    """

    def __init__(self, call, send, gather_seconds):
        self._gather_seconds = gather_seconds
        self.sequence = call.resume_from
        self._attempt = call.attempt
        self._loop = asyncio.get_running_loop()
        self._send = send
        self._window = SendWindow()
        self._credit_added = asyncio.Event()
        self._bodies = deque()
        self._size = 0
        self._next_at = 0.0
        self._timer = None
        self._delayed_flush = None
        self._send_lock = asyncio.Lock()

    def credit(self, cost):
        """Add `cost` bytes of credit to the send window."""
        self._window.credit(cost)
        self._credit_added.set()

    async def add(self, body):
        """Queue one part; wait for credit if the frame is full or due."""
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
        """Send all queued parts, waiting for credit as needed."""
        self._stop_timer()
        async with self._send_lock:
            while self._bodies:
                while not self._window.is_open:
                    self._credit_added.clear()
                    await self._credit_added.wait()
                await self._send_parts()

    def close(self):
        """Drop queued parts and stop the delayed flush."""
        self._stop_timer()
        self._bodies.clear()
        if self._delayed_flush is not None:
            self._delayed_flush.cancel()

    async def _send_parts(self):
        first, *more = self._dequeue_parts()
        chunk = Chunk(self._attempt, self.sequence, first, tuple(more))
        self.sequence += len(chunk.bodies)
        self._next_at = self._loop.time() + self._gather_seconds
        await self._send(chunk)

    def _dequeue_parts(self):
        parts = []
        while self._bodies and self._window.is_open:
            body = self._bodies.popleft()
            self._size -= len(body)
            self._window.sent(chunk_cost(body))
            parts.append(body)
        return parts

    def _on_timer(self):
        self._timer = None
        self._delayed_flush = asyncio.ensure_future(self._flush_if_open())

    async def _flush_if_open(self):
        with suppress(ConnectionClosed):
            await self.flush()

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
