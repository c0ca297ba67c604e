"""HTTP server of one aiohttp application."""

import asyncio

from aiohttp import web

__all__ = ["HttpServer", "split_address"]

SHUTDOWN_TIMEOUT_SECONDS = 5.0


def split_address(address):
    """Return the host and port of a HOST:PORT address.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class HttpServer:
    """Serve one aiohttp application at one address."""

    def __init__(self, application, address, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS):
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=shutdown_timeout,
        )
        self._address = address

    async def start(self):
        """Start listening."""
        await self._runner.setup()
        host, port = split_address(self._address)
        site = web.TCPSite(self._runner, host, port)
        await site.start()

    @property
    def port(self):
        """Return the actual port, which differs if the address has port 0."""
        return self._runner.addresses[0][1]

    async def stop(self, delay=0.0):
        """Stop listening and close all connections `delay` seconds later."""
        for site in tuple(self._runner.sites):
            await site.stop()
        await asyncio.sleep(delay)
        await self._runner.cleanup()
