"""The processes around a measured entry: stand-ins, sidecars and callers."""

import asyncio
import json
import subprocess
import sys
from contextlib import AsyncExitStack, contextmanager
from functools import partial

import aiohttp

from wharf_daemon import Sidecar, SidecarSettings
from wharf_daemon.http_server import HttpServer
from wharf_platform import ObjectClient
from wharf_platform.configuration import CONFIGURATION_KEY, Document, Folder
from wharf_standins.engine import Engine
from wharf_standins.platform import Platform
from wharf_standins.slopes.quiet import log_only_warnings

__all__ = ["ask_streams", "peer_process", "serve_upstreams"]

ANY_PORT = "127.0.0.1:0"
CONCURRENCY_LIMIT = 512
REQUEST_BYTES = 1000
POOL_SIZE = 16


@contextmanager
def peer_process(command, *arguments):
    """Run a command of the stand-ins; yield its process and stop it on exit."""
    words = [sys.executable, "-m", "wharf_standins", command, *map(str, arguments)]
    running = subprocess.Popen(
        words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    try:
        yield running
    finally:
        running.stdin.close()
        running.wait(timeout=30)


def serve_upstreams(
    upstreams: int,
    tokens: int,
    seconds_per_token: float,
    *,
    gather_seconds: float = 0.025,
):
    """Run a platform, engines and sidecars until standard input closes.

    :param upstreams: number of engines, each with a sidecar
    :param tokens: tokens of each answer
    :param seconds_per_token: interval between the tokens of a stream
    :param gather_seconds: setting of the sidecars
    """
    log_only_warnings()
    make = partial(Engine, service_time=tokens * seconds_per_token, tokens=tokens)
    asyncio.run(_serve_upstreams(upstreams, make, gather_seconds))


def ask_streams(url: str, requests: int):
    """Send streamed requests at once; print how many completed.

    :param url: URL of the pipeline
    :param requests: number of concurrent requests
    """
    print(asyncio.run(_ask_streams(url, requests)), flush=True)


async def _serve_upstreams(count, make_engine, gather_seconds):
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        platform = await _site(stack, Platform().application())
        url = f"http://127.0.0.1:{platform.port}"
        addresses = [
            await _start_upstream(
                stack, f"model-{number}", url, make_engine, gather_seconds
            )
            for number in range(count)
        ]
        value = Document(revision=1, folder=_folder(addresses)).to_json()
        await ObjectClient(session, url).put(CONFIGURATION_KEY, value, 0)
        print(url, flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def _start_upstream(stack, name, platform_url, make_engine, gather_seconds):
    site = await _site(stack, make_engine(name, "dc-1").application())
    settings = SidecarSettings(
        name=f"sidecar-{name}",
        data_centre="dc-1",
        listen=ANY_PORT,
        operators_listen=ANY_PORT,
        platform=platform_url,
        upstream=name,
        upstream_url=f"http://127.0.0.1:{site.port}",
        cold_limit=CONCURRENCY_LIMIT,
        max_limit=CONCURRENCY_LIMIT,
        gather_seconds=gather_seconds,
        seed=1,
    )
    sidecar = Sidecar(settings)
    await sidecar.start()
    stack.push_async_callback(sidecar.stop)
    return f"127.0.0.1:{sidecar.port}"


async def _site(stack, application):
    site = HttpServer(application, ANY_PORT)
    await site.start()
    stack.push_async_callback(site.stop)
    return site


def _folder(addresses):
    limits = {"cold_limit": CONCURRENCY_LIMIT, "max_limit": CONCURRENCY_LIMIT}
    upstreams = {
        f"model-{number}": {
            "pool": _pool(number),
            "data_centre": "dc-1",
            "address": address,
        }
        | limits
        for number, address in enumerate(addresses)
    }
    return Folder.model_validate(
        {
            "data_centres": {"dc-1": {}},
            "customers": {"acme": {}},
            "pools": {_pool(number): {} for number in range(len(addresses))},
            "upstreams": upstreams,
            "pipelines": {"ask": {"stages": [{"name": "answer", "pool": "model"}]}},
        }
    )


def _pool(number):
    # Pools must be small enough for an entry to link to all of their upstreams.
    return "model" if number < POOL_SIZE else f"other-{number // POOL_SIZE}"


async def _ask_streams(url, requests):
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        asks = (_ask(session, url, number) for number in range(requests))
        return sum(await asyncio.gather(*asks))


async def _ask(session, url, number):
    body = json.dumps({"note": f"{number:0{REQUEST_BYTES}}"})
    headers = {
        "Customer": "acme",
        "Accept": "text/event-stream",
        "Deadline-Seconds": "60",
    }
    async with session.post(url, data=body, headers=headers) as response:
        text = await response.text()
        return "event: end" in text
