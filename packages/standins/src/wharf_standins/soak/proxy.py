"""A loopback proxy that harms the connections through it."""

import asyncio
from contextlib import suppress

__all__ = ["Proxy"]


class Proxy:
    """Pass bytes on; `mode` is pass, delay, mute or one_way.

    In the mode one_way only bytes of who dialled pass.
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
        """Take no more connections and reset those that are open."""
        self._server.close()
        self.reset()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            self._writers.add(far_writer)
            await asyncio.gather(
                self._pass_on(reader, far_writer, is_back=False),
                self._pass_on(far_reader, writer, is_back=True),
            )
            self._writers.discard(far_writer)
        self._writers.discard(writer)

    async def _pass_on(self, reader, writer, is_back):
        with suppress(OSError):
            while data := await reader.read(65536):
                match self.mode:
                    case "delay":
                        await asyncio.sleep(0.1)
                    case "mute":
                        continue
                    case "one_way" if is_back:
                        continue
                writer.write(data)
                await writer.drain()
        writer.close()
