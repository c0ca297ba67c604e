"""The command line of wharfd."""

import asyncio
import signal
import sys
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


def entry(
    settings: Path,
    *,
    listen: str | None = None,
    platform: str | None = None,
    check: bool = False,
):
    """Run an entry, the process that callers reach.

    :param settings: JSON file with comments
    :param listen: HOST:PORT for callers, in place of the file's
    :param platform: URL of the platform, in place of the file's
    :param check: only validate the settings
    """
    overrides = {"listen": listen, "platform": platform}
    return _run(EntrySettings, Entry, settings, overrides, check)


def sidecar(
    settings: Path,
    *,
    listen: str | None = None,
    platform: str | None = None,
    check: bool = False,
):
    """Run a sidecar, the process beside an upstream.

    :param settings: JSON file with comments
    :param listen: HOST:PORT for entries, in place of the file's
    :param platform: URL of the platform, in place of the file's
    :param check: only validate the settings
    """
    overrides = {"listen": listen, "platform": platform}
    return _run(SidecarSettings, Sidecar, settings, overrides, check)


def main():
    """Run the command line; exit with 2 on settings with a fault."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    sys.exit(defopt.run([entry, sidecar], no_negated_flags=True))


def _run(model, daemon, path, overrides, check):
    given = {key: value for key, value in overrides.items() if value is not None}
    match read_model(model, path, given):
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            return EXIT_BAD_SETTINGS
        case Ok(settings):
            if not check:
                asyncio.run(_serve(daemon, settings))
            return EXIT_OK


async def _serve(daemon, settings):
    process = daemon(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await process.start()
    structlog.get_logger().info(
        "started",
        name=settings.name,
        port=process.port,
        operators=process.operators_port,
    )
    await stop.wait()
    await process.stop()
