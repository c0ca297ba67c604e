"""Divides the parsing of small pieces among the turns of the event loop."""

from collections import deque

__all__ = ["DEFAULT_PIECES", "PieceTurns"]

DEFAULT_PIECES = 2000
# What one connection parses at once, as a part of the pieces of a turn.
CONNECTION_SHARE = 0.125


class PieceTurns:
    """Let connections with many small pieces wait behind each other.

    A piece is a header line or a part of a chunked body. A connection parses up to
    `share` pieces when data arrives, and `add`s itself if more are left. In each turn
    those that wait parse about `pieces` together, in the order in which they came.
    Connections that don't wait aren't held up by more than that.

    >>> class Caller:
    ...     left = 5
    ...     def parse_waiting(self):
    ...         self.left -= 3
    ...         if self.left > 0:
    ...             turns.add(self)
    ...         return 3
    >>> turns, caller = PieceTurns(pieces=1), Caller()
    >>> turns.add(caller)
    >>> turns.run()
    >>> len(turns), caller.left
    (1, 2)
    >>> turns.run()
    >>> len(turns), caller.left
    (0, -1)
    """

    def __init__(self, pieces=DEFAULT_PIECES):
        self.pieces = pieces
        self.share = max(1, int(pieces * CONNECTION_SHARE))
        self._waiting = deque()

    def __len__(self):
        """Return the number of connections that wait."""
        return len(self._waiting)

    def add(self, connection):
        """Append a connection whose `parse_waiting()` returns the pieces it parsed."""
        self._waiting.append(connection)

    def run(self):
        """Parse the pieces of one turn."""
        left = self.pieces
        # Those that wait again get their next share in a later turn.
        for _ in range(len(self._waiting)):
            if left <= 0:
                break
            left -= max(1, self._waiting.popleft().parse_waiting())
