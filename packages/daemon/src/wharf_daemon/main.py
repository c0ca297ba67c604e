"""The command line of wharfd."""

import asyncio
import signal
import sys
import time
from functools import partial
from pathlib import Path

import defopt
import structlog
from result import Err, Ok

from wharf_daemon.entry import Entry, EntrySettings
from wharf_daemon.sidecar import Sidecar, SidecarSettings
from wharf_platform.configuration import read_model

__all__ = ["main"]

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_NOT_STARTED = 3


def entry(
    settings: Path,
    *,
    name: str | None = None,
    data_centre: str | None = None,
    listen: str | None = None,
    operators_listen: str | None = None,
    platform: str | None = None,
    check: bool = False,
):
    """Run an entry, the process that callers reach.

    :param settings: JSON file with comments
    :param name: name of this process, in place of the file's
    :param data_centre: where it runs, in place of the file's
    :param listen: HOST:PORT for callers, in place of the file's
    :param operators_listen: HOST:PORT for operators, in place of the file's
    :param platform: URL of the platform, in place of the file's
    :param check: only validate the settings
    """
    overrides = {
        "name": name,
        "data_centre": data_centre,
        "listen": listen,
        "operators_listen": operators_listen,
        "platform": platform,
    }
    return _run(EntrySettings, Entry, settings, overrides, check)


def sidecar(
    settings: Path,
    *,
    name: str | None = None,
    data_centre: str | None = None,
    listen: str | None = None,
    operators_listen: str | None = None,
    platform: str | None = None,
    check: bool = False,
):
    """Run a sidecar, the process beside an upstream.

    :param settings: JSON file with comments
    :param name: name of this process, in place of the file's
    :param data_centre: where it runs, in place of the file's
    :param listen: HOST:PORT for entries, in place of the file's
    :param operators_listen: HOST:PORT for operators, in place of the file's
    :param platform: URL of the platform, in place of the file's
    :param check: only validate the settings
    """
    overrides = {
        "name": name,
        "data_centre": data_centre,
        "listen": listen,
        "operators_listen": operators_listen,
        "platform": platform,
    }
    return _run(SidecarSettings, Sidecar, settings, overrides, check)


def main():
    """Run the command line.

    The exit status is 2 for invalid settings and 3 if an address can't be bound.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    sys.exit(defopt.run([entry, sidecar], no_negated_flags=True))


def _run(model, daemon_type, path, overrides, check):
    given = {key: value for key, value in overrides.items() if value is not None}
    match read_model(model, path, given):
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        case Ok(settings):
            return EXIT_OK if check else _start(daemon_type, settings)


def _start(daemon_type, settings):
    try:
        with asyncio.Runner(loop_factory=_boot_time_loop) as runner:
            runner.run(_serve(daemon_type, settings))
    except OSError as error:
        print(f"{settings.name}: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED
    return EXIT_OK


def _boot_time_loop():
    """Return an event loop whose time goes on while the host is suspended.

    A lease would otherwise be relied on for longer than it was given.
    """
    loop = asyncio.SelectorEventLoop()
    loop.time = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    return loop


async def _serve(daemon_type, settings):
    log = structlog.get_logger()
    process = daemon_type(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    # The configuration is watched, so there is nothing to read again.
    loop.add_signal_handler(signal.SIGHUP, lambda: log.info("reload"))
    await process.start()
    log.info(
        "started",
        name=settings.name,
        port=process.port,
        operators=process.operators_port,
    )
    await stop_requested.wait()
    await process.stop()
