"""Kept connections to upstreams, by their address."""

import asyncio
from collections import defaultdict, deque

from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.http.upstream_connection import UpstreamConnection

__all__ = ["ConnectionPool"]

# A reused connection that has been idle for most of the upstream's time-out may
# be closed just as a request is written; half of it leaves room for a slow link.
MAX_IDLE_FRACTION = 0.5
# Where an upstream names no time-out; below the shortest common default of 5 s.
DEFAULT_IDLE_TIMEOUT_SECONDS = 2.0
# A host that is up answers within some ten milliseconds, also in another region; a
# dark one never does, and what waits for it could run elsewhere.
CONNECT_TIMEOUT_SECONDS = 0.3


class ConnectionPool:
    """Open, keep and close connections; at most `max_idle` are kept an address."""

    def __init__(self, max_idle=8):
        self._idle = defaultdict(deque)
        self._max_idle = max_idle
        self.opened = 0

    async def acquire(self, address, now, fresh=False):
        """Return a connection; raises `HttpCallError` where none can be opened."""
        idle = self._idle[address]
        while idle and not fresh:
            connection = idle.pop()
            timeout = connection.idle_timeout or DEFAULT_IDLE_TIMEOUT_SECONDS
            is_fresh = now - connection.idle_since < timeout * MAX_IDLE_FRACTION
            if is_fresh and not connection.is_closed:
                return connection
            connection.close()
        return await self._open(address)

    def release(self, address, connection, now):
        """Keep a connection for later, or close it."""
        if not connection.release(now):
            return
        idle = self._idle[address]
        idle.append(connection)
        if len(idle) > self._max_idle:
            idle.popleft().close()

    def close_idle_to(self, address):
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle_to(address)

    async def _open(self, address):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    UpstreamConnection, host, int(port)
                )
        except (OSError, TimeoutError) as error:
            reason = f"no connection to {address}: {error!r}"
            raise HttpCallError(reason, was_sent=False) from error
        return connection
