"""Writes log lines without ever blocking the loop."""

import asyncio
import os
import stat

from wharf_gateway.telemetry.line_queue import LineQueue

__all__ = ["LineWriter"]

LINES_AT_ONCE = 100
FLUSH_SECONDS = 0.05  # lines of this time share a write
IMPORTANT_LEVELS = ("warning", "error", "critical")
IMPORTANT_EVENTS = ("not_served", "rejected", "started", "stopping", "stopped")


class LineWriter:
    """Take structlog's rendered lines and write them when the reader takes them.

    A reader that stops reading costs lines, not requests.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self.queue = LineQueue()
        self._unwritten = b""
        self._timer = None
        if _may_block(descriptor):
            os.set_blocking(descriptor, False)

    def msg(self, message):
        """Take one line as `EVENT_LEVEL` and text, see `render`."""
        event, level, line = message
        is_important = level in IMPORTANT_LEVELS or event in IMPORTANT_EVENTS
        self.queue.push(event, line, is_important)
        if not self._schedule():
            self.flush()

    debug = info = warning = error = critical = exception = msg

    def flush(self):
        """Write as much as the reader takes; return whether nothing is left."""
        self._timer = None
        while self._unwritten or len(self.queue):
            if not self._unwritten:
                lines = self.queue.pop(LINES_AT_ONCE)
                self._unwritten = ("\n".join(lines) + "\n").encode()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                self._schedule()
                return False
            self._unwritten = self._unwritten[written:]
        return True

    def _schedule(self):
        """Flush soon; return whether there is a loop that will."""
        if self._timer is not None:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._timer = loop.call_later(FLUSH_SECONDS, self.flush)
        return True


def _may_block(descriptor):
    mode = os.fstat(descriptor).st_mode
    return stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
