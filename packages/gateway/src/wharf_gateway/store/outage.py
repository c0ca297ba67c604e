"""An outage of the store, as all followers of one process share it."""

import asyncio

__all__ = ["Outage"]

# How long a follower waits for the one that tries, before it tries itself: one kind
# may be refused while the others are answered.
LONGEST_WAIT_SECONDS = 2.0


class Outage:
    """Let one follower try the store while it is away, and the others wait for it.

    Each call is priced, also one that is refused.
    """

    def __init__(self):
        self._prober = None
        self._ended = asyncio.Event()

    async def wait_turn(self, kind, pause):
        """Return after `pause` seconds for the one that tries, else when it ended."""
        if self._prober in (None, kind):
            self._prober = kind
            self._ended.clear()
            await asyncio.sleep(pause)
            return
        try:
            async with asyncio.timeout(LONGEST_WAIT_SECONDS):
                await self._ended.wait()
        except TimeoutError:
            self._prober = kind

    def note_answer(self, kind):
        """Take it that the store answers again, if `kind` is the one that tried."""
        if self._prober == kind:
            self._prober = None
            self._ended.set()
