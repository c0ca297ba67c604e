"""Signals to a daemon that has not started."""

import asyncio
import os
import signal
from types import SimpleNamespace

import pytest

from wharf_daemon.main import _serve

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
