"""Loopback addresses for processes that need them in their settings."""

import socket

__all__ = ["ReservedAddresses"]


class ReservedAddresses:
    """Addresses given by the system, and to no one else until they are released.

    Each is held by a socket that doesn't listen. A server with SO_REUSEADDR, such as
    asyncio's, can listen there all the same, and again after a restart.
    """

    def __init__(self):
        self._sockets = []

    def take(self):
        """Return a new HOST:PORT."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", 0))
        self._sockets.append(holder)
        host, port = holder.getsockname()
        return f"{host}:{port}"

    def release(self):
        """Release all addresses."""
        while self._sockets:
            self._sockets.pop().close()
