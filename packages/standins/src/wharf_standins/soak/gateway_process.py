"""A gateway as a process of its own."""

import asyncio
import json
import signal
import sys

from wharf_standins.free_address import free_address

__all__ = ["GatewayProcess"]


class GatewayProcess:
    """Start, signal and restart one gateway."""

    def __init__(self, name, folder, store_port):
        self.name = name
        self.address = free_address()
        self.ready_address = free_address()
        self._path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self._process = None
        self._is_restarting = False
        settings = {
            "name": name,
            "data_centre": "dc-1",
            "host": "127.0.0.1",
            "listen": self.address,
            "ready_listen": self.ready_address,
            "peer_port": int(free_address().rpartition(":")[2]),
            "store": f"127.0.0.1:{store_port}",
            "stop_seconds": 6.0,
        }
        self._path.write_text(json.dumps(settings))

    async def start(self):
        """Start the process; its lines are added to its log."""
        arguments = (sys.executable, "-m", "wharf_gateway", "--settings", self._path)
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *map(str, arguments), stdout=log, stderr=log
            )

    def send(self, number):
        """Send it a signal, if it runs."""
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def restart(self, number, pause=0.0):
        """Send a signal that ends it, and start it again `pause` seconds later.

        While it is being restarted already the signal is sent and no more.
        """
        self.send(number)
        if self._is_restarting:
            return
        self._is_restarting = True
        await self._process.wait()
        await asyncio.sleep(pause)
        await self.start()
        self._is_restarting = False

    async def end(self):
        """End it whatever it does."""
        if self._process is not None and self._process.returncode is None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self._process.wait()
