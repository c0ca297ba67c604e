"""A `wharfd` process started by a test or benchmark."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

__all__ = ["DaemonProcess"]

STOP_SECONDS = 30.0
# Positions in /proc/PID/stat after the command's name.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12


class DaemonProcess:
    """A running process; its log file is in the directory of its settings."""

    def __init__(self, process):
        self._process = process

    @classmethod
    async def start(cls, kind, directory: Path, name, settings):
        """Write the settings and start `wharfd KIND` with them."""
        path = directory / f"{name}.json"
        path.write_text("// written for one run\n" + json.dumps(settings))
        with (directory / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "wharf_daemon", kind, str(path)), stderr=log
            )
        return cls(process)

    def check_running(self):
        """Raise RuntimeError if the process has exited."""
        if self._process.returncode is not None:
            raise RuntimeError(f"wharfd exited with code {self._process.returncode}")

    async def stop(self):
        """Request a planned stop, wait for it and return the exit code."""
        self._process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(self._process.wait(), STOP_SECONDS)

    def signal(self, number):
        """Send a signal."""
        self._process.send_signal(number)

    def processor_seconds(self):
        """Return the processor time used so far, in seconds."""
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
        return ticks / os.sysconf("SC_CLK_TCK")
