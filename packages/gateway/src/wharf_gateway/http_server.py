"""A listening port whose requests one handler answers."""

import asyncio

from wharf_gateway.http.caller_connection import CallerConnection

__all__ = ["HttpServer"]

BACKLOG = 512  # connections that wait to be accepted; bursts open many at once


class HttpServer:
    """Accept connections and give their requests to `handle(request, responder)`."""

    def __init__(self, address, limits, handle):
        self._address = address
        self.limits = limits
        self.handle = handle
        self.closing = False
        self.connections = set()
        self._server = None

    async def start(self):
        """Listen."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, int(port), backlog=BACKLOG
        )

    @property
    def port(self):
        """Return the port on which the site listens."""
        return self._server.sockets[0].getsockname()[1]

    def stop_accepting(self):
        """Take no new connections."""
        self._server.close()

    def close_idle(self):
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    @property
    def busy(self):
        """Return the number of connections with a request under way."""
        return sum(not connection.is_idle for connection in self.connections)
