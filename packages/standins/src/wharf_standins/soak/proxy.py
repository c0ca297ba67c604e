"""A TCP proxy on loopback that disturbs the connections through it."""

import asyncio
from contextlib import suppress

__all__ = ["Proxy"]


class Proxy:
    """Forward connections to a port; `mode` is pass, delay, mute or one_way.

    Mode mute drops all bytes; one_way drops those that the target sends.
    """

    def __init__(self, target_port):
        self._target_port = target_port
        self._writers = set()
        self.mode = "pass"
        self.port = None

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening and reset all open connections."""
        self._server.close()
        self.reset()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            self._writers.add(target_writer)
            await asyncio.gather(
                self._forward(reader, target_writer, is_response=False),
                self._forward(target_reader, writer, is_response=True),
            )
            self._writers.discard(target_writer)
        self._writers.discard(writer)

    async def _forward(self, reader, writer, is_response):
        with suppress(OSError):
            while data := await reader.read(65536):
                match self.mode:
                    case "delay":
                        await asyncio.sleep(0.1)
                    case "mute":
                        continue
                    case "one_way" if is_response:
                        continue
                writer.write(data)
                await writer.drain()
        writer.close()
