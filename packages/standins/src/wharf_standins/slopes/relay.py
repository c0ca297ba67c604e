"""Processor time of an entry for each request and each streamed token."""

import asyncio
import time
from contextlib import asynccontextmanager

from wharf_daemon import Entry, EntrySettings
from wharf_standins.slopes.peers import ANY_PORT, peer_process

__all__ = ["relay_cpu", "running_entry"]

UPSTREAMS = 4
SECONDS_PER_TOKEN = 0.02
READY_TIMEOUT_SECONDS = 20
WARM_UP_REQUESTS = 8


@asynccontextmanager
async def running_entry(platform_url, links):
    """Run an entry in this process; yield it once it has `links` open links."""
    settings = EntrySettings(
        name="entry-0",
        data_centre="dc-1",
        listen=ANY_PORT,
        operators_listen=ANY_PORT,
        platform=platform_url,
        seed=1,
    )
    entry = Entry(settings)
    await entry.start()
    try:
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while sum(link.is_open for link in entry.links.by_address.values()) < links:
                await asyncio.sleep(0.01)
        yield entry
    finally:
        await entry.stop()


async def relay_cpu(
    requests, tokens, on_begin=None, on_end=None, gather_seconds=0.025
) -> float:
    """Return the processor seconds that an entry uses to relay concurrent streams."""
    setting = f"--gather-seconds={gather_seconds}"
    with peer_process(
        "serve-upstreams", setting, UPSTREAMS, tokens, SECONDS_PER_TOKEN
    ) as upstreams:
        platform_url = await asyncio.to_thread(upstreams.stdout.readline)
        async with running_entry(platform_url.strip(), UPSTREAMS) as entry:
            url = f"http://127.0.0.1:{entry.port}/v1/pipelines/ask"
            await _ask(url, WARM_UP_REQUESTS)
            begin = time.process_time()
            if on_begin:
                on_begin()
            await _ask(url, requests)
            if on_end:
                on_end()
            return time.process_time() - begin


async def _ask(url, requests):
    with peer_process("ask-streams", url, requests) as callers:
        line = await asyncio.to_thread(callers.stdout.readline)
    completed = int(line or 0)
    if completed != requests:
        raise RuntimeError(f"{completed} of {requests} streams completed")
