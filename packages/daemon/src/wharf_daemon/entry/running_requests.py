"""Requests of an entry that are under way."""

import asyncio
from contextlib import asynccontextmanager, contextmanager

from result import Err, Ok

from wharf_coordination import Code, Refusal

__all__ = ["EntryStoppedError", "RunningRequests"]


class EntryStoppedError(Exception):
    """Raised in a request that the stop of its entry ends."""


class RunningRequests:
    """Admit at most `max_requests` at a time and end them when the entry must stop."""

    def __init__(self, max_requests):
        self._max_requests = max_requests
        self._ids = set()
        self._timeouts = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self.is_ended = False

    def __len__(self):
        """Return the number of requests under way."""
        return len(self._ids)

    def __iter__(self):
        """Iterate over the ids of the requests under way."""
        return iter(tuple(self._ids))

    @contextmanager
    def admit(self, request_id):
        """Count a request while it runs; yield a refusal if none is admitted."""
        if self.is_ended:
            yield Err(Refusal.not_run(Code.ENTRY_STOPPING))
            return
        if len(self) >= self._max_requests:
            yield Err(Refusal.not_run(Code.ENTRY_FULL, f"{len(self)} requests"))
            return
        self._ids.add(request_id)
        self._idle.clear()
        try:
            yield Ok(None)
        finally:
            self._ids.discard(request_id)
            if not self._ids:
                self._idle.set()

    @asynccontextmanager
    async def until_end(self):
        """Raise EntryStoppedError if `end` is called before the block is left."""
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                if self.is_ended:
                    timeout.reschedule(asyncio.get_running_loop().time())
                yield
        except TimeoutError as error:
            if timeout.expired():
                raise EntryStoppedError from error
            raise
        finally:
            self._timeouts.discard(timeout)

    def end(self):
        """Admit no more requests and end those under way."""
        self.is_ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)

    async def wait_until_idle(self, seconds):
        """Return whether no request is under way within `seconds`."""
        try:
            async with asyncio.timeout(seconds):
                # Another request may be admitted before this task continues.
                while self._ids:
                    await self._idle.wait()
        except TimeoutError:
            return False
        return True
