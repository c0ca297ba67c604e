"""Flow control of one stream of chunks between two processes."""

from dataclasses import dataclass

__all__ = ["ReceiveWindow", "SendWindow", "chunk_cost"]

CHUNK_OVERHEAD_BYTES = 256
WINDOW_BYTES = 256 << 10


def chunk_cost(body):
    """Return what a chunk counts for in a window, in bytes.

    >>> chunk_cost(b"ab")
    258
    """
    return len(body) + CHUNK_OVERHEAD_BYTES


@dataclass(slots=True)
class SendWindow:
    """Tell a sender when it must wait for the receiver's credit.

    What is under way may exceed `limit` by one chunk, so that a chunk of any
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
        """Count what the receiver has consumed."""
        self.outstanding = max(0, self.outstanding - cost)


@dataclass(slots=True)
class ReceiveWindow:
    """Hold a sender to its window and say when to grant it credit.

    >>> window = ReceiveWindow(limit=10)
    >>> window.accept(8), window.accept(8), window.accept(8)
    (True, True, False)
    >>> window.consume(8)
    8
    """

    limit: int = WINDOW_BYTES
    outstanding: int = 0
    _owed: int = 0

    def accept(self, cost):
        """Count a chunk as received; return False if it breaks the window."""
        if self.outstanding >= self.limit:
            return False
        self.outstanding += cost
        return True

    def consume(self, cost):
        """Return the credit to grant now; small amounts are saved up."""
        self._owed += cost
        if self._owed * 2 < self.limit:
            return 0
        granted, self._owed = self._owed, 0
        self.outstanding -= granted
        return granted
