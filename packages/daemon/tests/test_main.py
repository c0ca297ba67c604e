"""Signals to a daemon that has not started."""

import asyncio
import os
import signal
import time
from types import SimpleNamespace

import pytest

from wharf_daemon.main import EXIT_OK, _serve, _start

START_SECONDS = 0.1


class SlowDaemon:
    """Daemon that takes a while to start and records its calls."""

    port = operators_port = 0

    def __init__(self, settings):
        self.calls = settings.calls

    async def start(self):
        await asyncio.sleep(START_SECONDS)
        self.calls.append("started")

    async def stop(self):
        self.calls.append("stopped")


# Guards against a process that a signal ends, or that misses it, while it starts.
@pytest.mark.parametrize(
    "signals",
    [[signal.SIGTERM], [signal.SIGHUP, signal.SIGTERM], [signal.SIGTERM] * 2],
    ids=["stop", "reload, then stop", "stop twice"],
)
async def test_process_that_gets_a_signal_while_it_starts_is_stopped(signals):
    settings = SimpleNamespace(name="e", calls=[])
    serving = asyncio.create_task(_serve(SlowDaemon, settings))
    await asyncio.sleep(START_SECONDS / 4)
    for number in signals:
        os.kill(os.getpid(), number)
    await asyncio.wait_for(serving, 5)
    assert settings.calls == ["started", "stopped"]


class SuspendedDaemon(SlowDaemon):
    """Daemon whose host is suspended for a minute as it starts."""

    async def start(self):
        loop = asyncio.get_running_loop()
        before = loop.time()
        self.suspend()
        self.calls.append(round(loop.time() - before))
        os.kill(os.getpid(), signal.SIGTERM)


# Guards against a lease that a daemon holds for longer than it was given, as the time
# in which its host was suspended didn't count.
def test_time_of_a_daemon_goes_on_while_its_host_is_suspended(monkeypatch):
    read, suspended = time.clock_gettime, []

    def read_clock(clock):
        is_counted = suspended and clock == time.CLOCK_BOOTTIME
        return read(clock) + 60.0 * bool(is_counted)

    monkeypatch.setattr(time, "clock_gettime", read_clock)
    SuspendedDaemon.suspend = staticmethod(lambda: suspended.append(True))
    settings = SimpleNamespace(name="e", calls=[])

    assert _start(SuspendedDaemon, settings) == EXIT_OK
    assert settings.calls == [60, "stopped"]
