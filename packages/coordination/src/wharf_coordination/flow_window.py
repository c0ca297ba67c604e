"""Credit-based flow control of one stream of chunks between two processes."""

from dataclasses import dataclass

__all__ = ["ReceiveWindow", "SendWindow", "chunk_cost"]

CHUNK_OVERHEAD_BYTES = 256
WINDOW_BYTES = 256 << 10


def chunk_cost(body):
    """Return the bytes that a chunk takes up in a window.

    >>> chunk_cost(b"ab")
    258
    """
    return len(body) + CHUNK_OVERHEAD_BYTES


@dataclass(slots=True)
class SendWindow:
    """Sender's window: decides when to wait for the receiver's credit.

    The bytes outstanding may exceed `limit` by one chunk, so that a chunk of any
    size can be sent.
    """

    limit: int = WINDOW_BYTES
    outstanding: int = 0

    @property
    def is_open(self):
        """Return whether one more chunk may be sent."""
        return self.outstanding < self.limit

    def sent(self, cost):
        """Count a chunk as sent."""
        self.outstanding += cost

    def credit(self, cost):
        """Apply credit from the receiver, which has consumed `cost` bytes."""
        self.outstanding = max(0, self.outstanding - cost)


@dataclass(slots=True)
class ReceiveWindow:
    """Receiver's window: enforces the limit and decides when to grant credit.

    >>> window = ReceiveWindow(limit=10)
    >>> window.accept(8), window.accept(8), window.accept(8)
    (True, True, False)
    >>> window.consume(8)
    8
    """

    limit: int = WINDOW_BYTES
    outstanding: int = 0
    _pending_credit: int = 0

    def accept(self, cost):
        """Count a chunk as received; return False if it exceeds the window."""
        if self.outstanding >= self.limit:
            return False
        self.outstanding += cost
        return True

    def consume(self, cost):
        """Return the credit to grant now; small amounts are accumulated."""
        self._pending_credit += cost
        if self._pending_credit * 2 < self.limit:
            return 0
        granted, self._pending_credit = self._pending_credit, 0
        self.outstanding -= granted
        return granted
