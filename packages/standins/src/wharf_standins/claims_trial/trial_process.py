"""An emulated process that can be frozen, cut off from the store, or killed."""

import asyncio

__all__ = ["TrialProcess"]

WALL_CLOCK_START = 1_764_827_500.0


class TrialProcess:
    """State of one process; what it does waits for `resumed`.

    `clock_error` is added to its wall clock, in seconds.
    """

    def __init__(self, name, rng, clock_error=0.0):
        self.name = name
        self.rng = rng
        self.is_cut = False
        self._clock_error = clock_error
        self._tasks = set()
        self._running = asyncio.Event()
        self._running.set()

    async def resumed(self):
        """Wait while the process is frozen."""
        await self._running.wait()

    def freeze(self):
        """Stop doing anything until `thaw`."""
        self._running.clear()

    def thaw(self):
        """Go on."""
        self._running.set()

    def start(self, work):
        """Return a task of this process."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def kill(self):
        """End the process: nothing that it has begun goes on."""
        self.freeze()
        for task in self._tasks:
            task.cancel()

    def wall_clock(self):
        """Return the Unix time as this process sees it."""
        now = asyncio.get_running_loop().time()
        return WALL_CLOCK_START + now + self._clock_error
