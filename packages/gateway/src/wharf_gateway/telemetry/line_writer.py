"""Non-blocking output of log lines."""

import asyncio
import os
import stat

from wharf_gateway.telemetry.line_queue import LineQueue

__all__ = ["LineWriter"]

MAX_BATCH_LINES = 100
FLUSH_DELAY_SECONDS = 0.05  # lines logged within this time share a write
IMPORTANT_LEVELS = ("warning", "error", "critical")
IMPORTANT_EVENTS = ("not_served", "rejected", "started", "stopping", "stopped")


class LineWriter:
    """Queue structlog's rendered lines and write them without blocking the event loop.

    If the reader of the pipe stops reading, lines are dropped and requests go on.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self.queue = LineQueue()
        self._unwritten = b""
        self._timer = None
        if _may_block(descriptor):
            os.set_blocking(descriptor, False)

    def msg(self, message):
        """Queue a line, given as a tuple of event, level and text (see `_Renderer`)."""
        event, level, line = message
        is_important = level in IMPORTANT_LEVELS or event in IMPORTANT_EVENTS
        self.queue.push(event, line, is_important)
        if not self._schedule():
            self.flush()

    debug = info = warning = error = critical = exception = msg

    def flush(self):
        """Write until the pipe is full; return whether all lines were written."""
        self._timer = None
        while self._unwritten or len(self.queue):
            if not self._unwritten:
                lines = self.queue.pop(MAX_BATCH_LINES)
                self._unwritten = ("\n".join(lines) + "\n").encode()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                self._schedule()
                return False
            self._unwritten = self._unwritten[written:]
        return True

    def _schedule(self):
        """Schedule a flush; return False if no event loop is running."""
        if self._timer is not None:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._timer = loop.call_later(FLUSH_DELAY_SECONDS, self.flush)
        return True


def _may_block(descriptor):
    mode = os.fstat(descriptor).st_mode
    return stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
