"""Queue of received frames of one attempt."""

import asyncio

from wharf_coordination import Code, ReceiveWindow, Refusal, chunk_cost
from wharf_wire import Chunk, End, Failed

__all__ = ["AttemptInbox"]


class AttemptInbox:
    """Queue the frames of one attempt without blocking the link.

    The receive window limits what the sidecar may send and so bounds the queue.
    """

    def __init__(self, attempt):
        self._attempt = attempt
        self._queue = asyncio.Queue()
        self._window = ReceiveWindow()
        self.is_broken = False

    def put(self, frame: Chunk | End | Failed):
        """Add a frame; one that exceeds the window fails the attempt."""
        if self.is_broken:
            return
        if isinstance(frame, Chunk) and not self._window.accept(_cost(frame)):
            self.is_broken = True
            refusal = Refusal.unknown(Code.ANSWER_BROKEN, "receive window exceeded")
            frame = Failed.from_refusal(self._attempt, refusal)
        self._queue.put_nowait(frame)

    async def get(self):
        """Wait for the next frame."""
        return await self._queue.get()

    def consume(self, frame):
        """Mark `frame` as consumed and return the credit in bytes to grant, or 0."""
        if not isinstance(frame, Chunk):
            return 0
        return self._window.consume(_cost(frame))


def _cost(chunk):
    return sum(map(chunk_cost, chunk.bodies))
