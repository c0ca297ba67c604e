"""Coordination of a process's watchers while the store is unavailable."""

import asyncio

__all__ = ["Outage"]

# A watcher retries itself after this long without success of the probing one, since
# the store may reject calls for one kind and answer those for others.
MAX_WAIT_SECONDS = 2.0


class Outage:
    """Let one watcher probe an unavailable store while the others wait.

    This saves calls: each one is charged for, also if the store rejects it.
    """

    def __init__(self):
        self._prober = None
        self._ended = asyncio.Event()

    async def wait_turn(self, kind, pause):
        """Wait until a watcher may call the store again.

        The probing watcher waits `pause` seconds, the others until its probe succeeds
        or `MAX_WAIT_SECONDS` have passed.
        """
        if self._prober in (None, kind):
            self._prober = kind
            self._ended.clear()
            await asyncio.sleep(pause)
            return
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                await self._ended.wait()
        except TimeoutError:
            self._prober = kind

    def record_answer(self, kind):
        """End the wait of the other watchers if that of `kind` is the probing one."""
        if self._prober == kind:
            self._prober = None
            self._ended.set()
