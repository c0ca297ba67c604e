"""A process in virtual time: an event loop that runs only when it is told to."""

import asyncio
from heapq import heappop, heappush
from itertools import count

__all__ = ["VirtualHost"]

CANCEL_ROUNDS = 10  # since a task may have to be cancelled several times


class _NoFiles:
    """A selector that never waits, since nothing is read from files."""

    def select(self, timeout=None):
        """Return no ready files."""
        return []

    def close(self):
        """Release nothing."""


class VirtualHost(asyncio.BaseEventLoop):
    """An event loop on the time of a network, with data that arrives from others.

    Data that arrived while the process was paused is handled before the timers that
    expired meanwhile, as by a real event loop. `failures` are exceptions that no one
    handled.
    """

    def __init__(self, name, network):
        super().__init__()
        self.name = name
        self._network = network
        self._selector = _NoFiles()
        self._arrivals = []
        self._numbers = count()
        self._paused_until = float("-inf")
        self.pauses = []
        self.is_ended = False
        self.failures = []
        self.transports = set()
        self.set_exception_handler(lambda _, found: self.failures.append(found))

    def time(self):
        """Return the seconds of virtual time since the start."""
        return self._network.now

    def _process_events(self, event_list):
        pass

    def pause(self, seconds):
        """Run nothing for `seconds`."""
        now = self.time()
        self._paused_until = max(self._paused_until, now + seconds)
        self.pauses.append((now, now + seconds))

    def end(self):
        """End the process; the system closes its connections."""
        self.is_ended = True
        self._network.forget_servers(self)
        for transport in list(self.transports):
            transport.end_process()

    def discard(self):
        """Cancel all tasks and close the loop."""
        failures = list(self.failures)
        self._arrivals.clear()
        for _ in range(CANCEL_ROUNDS):
            tasks = asyncio.all_tasks(self)
            if not tasks:
                break
            for task in tasks:
                task.cancel()
            self.step()
            self.step()
        for transport in list(self.transports):
            transport.end_process()
        self.failures = failures
        self.close()

    def arrive_at(self, when, callback):
        """Call `callback` at `when`, as data that arrives."""
        heappush(self._arrivals, (when, next(self._numbers), callback))

    def next_time(self):
        """Return when the process has something to do, infinite if never."""
        if self.is_ended:
            return float("inf")
        times = [self._arrivals[0][0]] if self._arrivals else []
        if self._scheduled:
            times.append(self._scheduled[0].when())
        when = self.time() if self._ready else min(times, default=float("inf"))
        return max(when, self._paused_until)

    def step(self):
        """Handle what has arrived, then the timers that have expired."""
        asyncio._set_running_loop(self)
        try:
            while self._arrivals and self._arrivals[0][0] <= self.time():
                self.call_soon(heappop(self._arrivals)[2])
            self._run_once()
        finally:
            asyncio._set_running_loop(None)

    async def create_server(self, factory, host=None, port=None, **options):
        """Listen on an address of the network."""
        return self._network.listen(self, factory, f"{host}:{port}")

    async def create_connection(self, factory, host=None, port=None, **options):
        """Connect to an address of the network."""
        transport = await self._network.connect(self, factory, f"{host}:{port}")
        return transport, transport.get_protocol()
