"""Repetition of many items in notices of limited size."""

from dataclasses import dataclass

__all__ = ["Turns"]


@dataclass(slots=True)
class Turns:
    """Take `size` items at a time by turns, once each `interval` seconds.

    >>> turns = Turns(interval=1.0, size=2)
    >>> turns.is_due(5.0), turns.is_due(5.5), turns.is_due(6.0)
    (True, False, True)
    >>> [turns.next_page("abc") for _ in range(3)]
    ['ab', 'c', 'ab']
    """

    interval: float
    size: int
    _last_at: float = float("-inf")
    _next: int = 0

    def is_due(self, now):
        """Return whether the interval is over, and begin the next one if it is."""
        if now - self._last_at < self.interval:
            return False
        self._last_at = now
        return True

    def next_page(self, items):
        """Return the items whose turn it is."""
        begin = self._next if self._next < len(items) else 0
        self._next = begin + self.size
        return items[begin : self._next]
