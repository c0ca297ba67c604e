"""An event loop whose time goes on while the machine is suspended."""

import asyncio
import time

__all__ = ["BootTimeLoop"]


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on the time since the machine's start, suspensions included.

    The usual monotonic clock stops while a machine is suspended. Deadlines, and
    permissions that expire, would then be valid for longer than they were given.
    """

    def time(self):
        """Return the seconds since the machine's start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
