"""An HTTP server on one port."""

import asyncio

import structlog

from wharf_gateway.http.caller_connection import CallerConnection
from wharf_gateway.http.caller_guard import CallerGuard
from wharf_gateway.http.connection_end import ConnectionEnd

__all__ = ["HttpServer"]

log = structlog.get_logger(__name__)

BACKLOG = 512  # of connections to be accepted; bursts open many at once
# Accepted before the first of them is counted, and may be closed.
ACCEPT_BATCH = 16


class HttpServer:
    """Accept connections and pass their requests to `handle(request, responder)`.

    `closing` makes each connection close after its current response.
    `on_unanswered(request, reason)` is called for each request that was read whole and
    whose connection ends without a response, for an `UnansweredReason`;
    `on_failure(request, responder, error)` answers a request whose handler raised
    `error`, unless a response was begun; `on_end(end, request)` is called as a
    connection ends, for a `ConnectionEnd` and the request that it cuts, or None.
    `guard` limits the memory and the number of connections.
    """

    def __init__(
        self,
        address,
        limits,
        handle,
        on_unanswered=None,
        on_failure=None,
        on_end=None,
        guard=None,
    ):
        self._address = address
        self.limits = limits
        self.handle = handle
        self._on_unanswered = on_unanswered
        self._on_failure = on_failure
        self._on_end = on_end
        self.guard = guard or CallerGuard()
        self.closing = False
        self.connections = set()
        self._server = None

    async def start(self):
        """Start listening."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self, self.guard),
            host,
            int(port),
            backlog=ACCEPT_BATCH,
        )
        for sock in self._server.sockets:
            # The event loop uses one number for the queue and for the batch.
            with sock.dup() as copy:
                copy.listen(BACKLOG)

    @property
    def port(self):
        """Return the port on which the server listens."""
        return self._server.sockets[0].getsockname()[1]

    def stop_accepting(self):
        """Stop listening; open connections stay open."""
        self._server.close()

    def close_idle(self):
        """Close the connections that have no request in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close(ConnectionEnd.STOPPING)

    def record_unanswered(self, request, reason):
        """Pass on a request whose connection ends without a response."""
        if self._on_unanswered:
            self._on_unanswered(request, reason)

    def record_end(self, end, request):
        """Pass on why a connection ended, and the request that it cut."""
        if self._on_end:
            self._on_end(end, request)

    def answer_failure(self, request, responder, error):
        """Log the failure of a request's handler, and answer the request."""
        if self._on_failure:
            self._on_failure(request, responder, error)
        else:
            log.error("request_failed", target=request.target, exc_info=error)

    def report_unanswered(self):
        """Record all requests without a complete response, as the process ends."""
        for connection in self.connections:
            connection.report_unanswered()

    @property
    def busy_count(self):
        """Return the number of connections with a request in progress."""
        return sum(not connection.is_idle for connection in self.connections)
