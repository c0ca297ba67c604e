"""Measurement of an idle entry in a separate process."""

import asyncio
import json
import time
from pathlib import Path

from wharf_standins.slopes.quiet import log_only_warnings
from wharf_standins.slopes.relay import running_entry

__all__ = ["idle_entry"]

SETTLE_SECONDS = 1.0
PAGE_KILOBYTES = 4


def idle_entry(platform: str, links: int, seconds: float):
    """Print the processor share and memory of an idle entry.

    :param platform: URL of the platform
    :param links: number of links to wait for
    :param seconds: length of the measurement
    """
    log_only_warnings()
    print(json.dumps(asyncio.run(_idle_entry(platform, links, seconds))), flush=True)


async def _idle_entry(platform, links, seconds):
    async with running_entry(platform, links):
        await asyncio.sleep(SETTLE_SECONDS)
        begin = time.process_time()
        await asyncio.sleep(seconds)
        spent = time.process_time() - begin
        return {"core_percent": 100 * spent / seconds, "megabytes": _megabytes()}


def _megabytes():
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_KILOBYTES / 1024
