"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
from selectors import DefaultSelector

__all__ = ["VirtualTimeLoop"]


class _SkippingSelector(DefaultSelector):
    """Count the time that a wait would have taken, and don't wait."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return the ready files; without timers, wait as usual."""
        if timeout is None:
            return super().select(None)
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run coroutines that do no real I/O in the same order each time."""

    def __init__(self):
        self._skipping_selector = _SkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self):
        """Return the seconds of virtual time since the start."""
        return self._skipping_selector.now
