"""Pool of idle connections by address."""

import asyncio
from collections import defaultdict, deque
from functools import partial

from wharf_gateway.http.answer_limits import AnswerLimits
from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.http.upstream_connection import UpstreamConnection

__all__ = ["ConnectionPool"]

# An upstream may close a connection that was idle for most of its idle timeout just
# as a request is written; half the timeout leaves a margin for slow links.
MAX_IDLE_FRACTION = 0.5
# Used if an upstream states no idle timeout; the shortest common default is 5 s.
DEFAULT_IDLE_TIMEOUT_SECONDS = 2.0
# Running hosts accept within some ten milliseconds, also in another region. A dead host
# never answers, and a waiting request could be sent elsewhere.
CONNECT_TIMEOUT_SECONDS = 0.3


class ConnectionPool:
    """Open and reuse connections, keeping at most `max_idle` idle ones per address.

    `opened` counts the attempts to open one. `limits` apply to each response.
    `on_unsolicited(address, cause, is_cut)` is called when data on a connection matches
    no request; `is_cut` says whether a request got no response for it.
    """

    def __init__(self, max_idle=8, limits=None, on_unsolicited=None):
        self._limits = limits or AnswerLimits()
        self._idle = defaultdict(deque)
        self._max_idle = max_idle
        self.on_unsolicited = on_unsolicited or (lambda address, cause, is_cut: None)
        self.opened = 0

    async def acquire(self, address, now, owner=None, *, fresh=False, call_id=None):
        """Return an idle connection, or open one if there is none or if `fresh`.

        Only connections that were opened for `owner`, one incarnation of an upstream,
        are reused for it, and none on which a request with the id `call_id` was sent: a
        second response to that one couldn't be told from the response to this one.
        Raises `HttpCallError` if the connection fails.
        """
        connection = None if fresh else self._take_idle(address, now, owner, call_id)
        if connection is None:
            connection = await self._open(address)
            connection.owner = owner
        return connection

    async def is_refused(self, address):
        """Return whether nothing listens at an address, as after a crash.

        A host that doesn't respond at all may only be cut off.
        """
        try:
            connection = await self._open(address)
        except HttpCallError as error:
            return isinstance(error.__cause__, ConnectionError)
        connection.close()
        return False

    def release(self, address, connection, now):
        """Keep a connection for reuse, or close it if it can't be reused."""
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

    def _take_idle(self, address, now, owner, call_id):
        """Return the last released connection that can be used, or None."""
        idle = self._idle[address]
        for connection in reversed(tuple(idle)):
            if not _is_usable(connection, now, owner):
                idle.remove(connection)
                connection.close()
            elif call_id is None or not connection.has_sent(call_id):
                idle.remove(connection)
                return connection
        return None

    async def _open(self, address):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self._limits), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            reason = f"no connection to {address}: {error!r}"
            raise HttpCallError(reason, was_sent=False) from error
        connection.on_unsolicited = partial(self.on_unsolicited, address)
        return connection


def _is_usable(connection, now, owner):
    """Return whether an idle connection can be used.

    Data that has arrived on it, even if the event loop hasn't read it yet, belongs to
    no request to come.
    """
    timeout = connection.idle_timeout or DEFAULT_IDLE_TIMEOUT_SECONDS
    is_fresh = now - connection.idle_since < timeout * MAX_IDLE_FRACTION
    return connection.owner is owner and is_fresh and connection.is_silent()
