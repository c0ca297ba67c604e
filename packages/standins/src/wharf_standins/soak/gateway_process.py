"""A gateway in a process of its own."""

import asyncio
import json
import signal
import sys
from contextlib import suppress

from wharf_standins.reserved_addresses import ReservedAddresses

__all__ = ["GatewayProcess"]


class GatewayProcess:
    """Start, signal and restart one gateway.

    `incarnation` counts its starts; `overrides` are settings in place of the defaults.
    """

    def __init__(self, name, folder, store_port, **overrides):
        self.name = name
        self._addresses = ReservedAddresses()
        self.address = self._addresses.take()
        self.ready_address = self._addresses.take()
        self._path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self._process = None
        self._is_restarting = False
        self.incarnation = 0
        settings = {
            "name": name,
            "data_centre": "dc-1",
            "host": "127.0.0.1",
            "listen": self.address,
            "ready_listen": self.ready_address,
            "peer_port": int(self._addresses.take().rpartition(":")[2]),
            "store": f"127.0.0.1:{store_port}",
            "stop_seconds": 6.0,
        }
        self._path.write_text(json.dumps(settings | overrides))

    async def start(self):
        """Start the process; append its output to its log file."""
        self.incarnation += 1
        arguments = (sys.executable, "-m", "wharf_gateway", "--settings", self._path)
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *map(str, arguments), stdout=log, stderr=log
            )

    @property
    def process_id(self):
        """Return the ID of the process that was started last."""
        return self._process.pid

    @property
    def is_running(self):
        """Return whether the process that was started last has not ended."""
        return self._process.returncode is None

    def send_signal(self, signal_number):
        """Send a signal if the process runs."""
        if self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def restart(self, signal_number, pause=0.0):
        """Send a terminating signal and start again `pause` seconds after the exit.

        While a restart is in progress, only send the signal.
        """
        self.send_signal(signal_number)
        if self._is_restarting:
            return
        self._is_restarting = True
        await self._process.wait()
        await asyncio.sleep(pause)
        await self.start()
        self._is_restarting = False

    async def until_listening(self, seconds):
        """Wait until the process accepts connections, for at most `seconds`."""
        host, _, port = self.address.rpartition(":")
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while True:
                    with suppress(OSError):
                        _, writer = await asyncio.open_connection(host, int(port))
                        writer.close()
                        return
                    await asyncio.sleep(0.1)

    def output(self, size=4000):
        """Return the last `size` characters that the process has logged."""
        return self._log_path.read_text(errors="replace")[-size:]

    async def kill(self):
        """Kill the process for good, even if it is paused."""
        if self._process is not None and self._process.returncode is None:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self._process.wait()
        self._addresses.release()
