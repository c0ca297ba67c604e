"""Holds back decisions after a pause of the process until it has asked again."""

import asyncio

import structlog

__all__ = ["PAUSE_SECONDS", "PauseGuard"]

log = structlog.get_logger(__name__)

# A process that has done no step for this long was stopped, suspended or starved; what
# it knew of leaving upstreams, data centres and keys may have changed meanwhile.
PAUSE_SECONDS = 1.0
# If the store doesn't answer for this long, requests are served by what is known, as
# in any outage of the store.
MAX_WAIT_SECONDS = 1.0


class PauseGuard:
    """Notice pauses of this process and wait for current knowledge after one.

    `step(now)` is called at least every 0.1 s. `ask_again()` starts to read the store
    anew, `is_current()` returns whether that is done.
    """

    def __init__(self, now, ask_again, is_current):
        self._last_step_at = now
        self._ask_again = ask_again
        self._is_current = is_current
        self._doubtful_until = float("-inf")

    def step(self, now):
        """Record that the process runs; start to ask again if it was paused."""
        seconds, self._last_step_at = now - self._last_step_at, now
        if seconds >= PAUSE_SECONDS:
            log.warning("paused", seconds=round(seconds, 3))
            self._doubtful_until = now + MAX_WAIT_SECONDS
            self._ask_again()

    def is_sure(self, now):
        """Return whether decisions may be made on what is known."""
        self.step(now)
        if now < self._doubtful_until and self._is_current():
            self._doubtful_until = float("-inf")
        return now >= self._doubtful_until

    async def wait_sure(self, clock):
        """Wait until decisions may be made on what is known."""
        while not self.is_sure(clock()):
            await asyncio.sleep(0.01)
