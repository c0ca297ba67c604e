"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
from selectors import DefaultSelector

__all__ = ["SkippingSelector", "VirtualTimeLoop"]


class SkippingSelector(DefaultSelector):
    """Advance a virtual clock by each timeout instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return the ready files; wait only if there is no timeout."""
        if timeout is None:
            return super().select(None)
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run coroutines deterministically in virtual time; they must do no real I/O."""

    def __init__(self, selector=None):
        self._skipping_selector = selector or SkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self):
        """Return the seconds of virtual time since the start."""
        return self._skipping_selector.now
