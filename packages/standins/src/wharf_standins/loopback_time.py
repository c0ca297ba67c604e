"""An event loop with a virtual clock for processes that talk over loopback."""

from wharf_standins.virtual_time import SkippingSelector, VirtualTimeLoop

__all__ = ["LoopbackTimeLoop"]

SETTLE_POLLS = 3


class _SettlingSelector(SkippingSelector):
    """Advance a virtual clock once no file is ready after a few polls."""

    def select(self, timeout=None):
        """Return the ready files; without any, advance the clock by the timeout."""
        if timeout is None:
            return super().select(None)
        for _ in range(SETTLE_POLLS):
            if ready := super().select(0):
                return ready
        self.now += max(0.0, timeout)
        return []


class LoopbackTimeLoop(VirtualTimeLoop):
    """Run both ends of loopback connections in virtual time.

    All peers must run on this loop, since the clock doesn't wait for others.
    """

    def __init__(self):
        super().__init__(_SettlingSelector())

    def pause(self, seconds):
        """Advance the clock as if the process had been suspended."""
        self._skipping_selector.now += seconds
