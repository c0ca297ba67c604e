"""Calls to the platform as the holder of a duty."""

import asyncio

from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.request_head import request_head

__all__ = ["CALL_SECONDS", "DutyCaller"]

# A call that the platform may still get after this long could arrive after those of the
# next holder; the lease ends later than a call that was allowed.
CALL_SECONDS = 0.5


class DutyCaller:
    """Send calls over a pool's connections, with a least time between them.

    `is_allowed()` is asked just before a call is sent.
    """

    def __init__(self, address, pool, clock, calls_per_second, meter):
        self._address = address
        self._pool = pool
        self._clock = clock
        self._least_seconds = 1 / calls_per_second
        self._meter = meter
        self._next_at = float("-inf")

    async def call(self, duty, path, fields, body, is_allowed):
        """Return the status of the answer, or None if there is none."""
        wait = self._next_at - self._clock()
        if wait > 0:
            await asyncio.sleep(wait)
        self._next_at = self._clock() + self._least_seconds
        connection, outcome = None, None
        try:
            async with asyncio.timeout(CALL_SECONDS):
                connection = await self._pool.acquire(self._address, self._clock())
                if not is_allowed():
                    return None
                head = request_head("POST", path, self._address, fields, len(body))
                connection.send(head, body)
                outcome = (await connection.head()).status
                await connection.body()
        except (HttpCallError, TimeoutError):
            pass  # counted as a call without an answer
        finally:
            # The pool closes a connection whose response was not read completely.
            if connection:
                self._pool.release(self._address, connection, self._clock())
        self._meter.count("wharf_duty_calls", duty, outcome or "none")
        return outcome
