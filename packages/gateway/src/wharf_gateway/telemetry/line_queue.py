"""Bounded queue of log lines that wait to be written."""

from collections import Counter, deque
from dataclasses import dataclass, field
from itertools import count

__all__ = ["LineQueue"]

# About four seconds of lines at the highest rate seen, some 700 KB.
MAX_LINES = 2000


@dataclass(slots=True)
class LineQueue:
    """Keep lines in order; when full, drop ordinary lines before important ones.

    `dropped` counts the dropped lines by event. Lines are stored as tuples of sequence
    number, event and text.
    """

    max_lines: int = MAX_LINES
    ordinary: deque = field(default_factory=deque)
    important: deque = field(default_factory=deque)
    dropped: Counter = field(default_factory=Counter)
    sequence: count = field(default_factory=count)

    def __len__(self):
        return len(self.ordinary) + len(self.important)

    @property
    def total_dropped(self):
        """Return the number of lines that were dropped."""
        return sum(self.dropped.values())

    def push(self, event, line, is_important):
        """Add a line; if the queue is full, drop the oldest ordinary line.

        Without ordinary lines, an important line replaces the oldest important one and
        an ordinary line is dropped itself.

        >>> queue = LineQueue(max_lines=2)
        >>> queue.push("a", "1", False); queue.push("b", "2", True)
        >>> queue.push("c", "3", True); queue.pop(9), dict(queue.dropped)
        (['2', '3'], {'a': 1})
        """
        if len(self) >= self.max_lines:
            lines = self.ordinary or (self.important if is_important else None)
            if not lines:
                self.dropped[event] += 1
                return
            self.dropped[lines.popleft()[1]] += 1
        target = self.important if is_important else self.ordinary
        target.append((next(self.sequence), event, line))

    def pop(self, max_lines):
        """Remove and return up to `max_lines` lines, the oldest first."""
        lines = []
        while len(lines) < max_lines and len(self):
            queues = [queue for queue in (self.ordinary, self.important) if queue]
            lines.append(min(queues, key=lambda queue: queue[0][0]).popleft()[2])
        return lines
