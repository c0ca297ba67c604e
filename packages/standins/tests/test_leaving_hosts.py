"""Upstreams that the platform's list shows as leaving, and data centres out."""

import asyncio

import pytest_asyncio

from wharf_platform import PlatformHost
from wharf_standins.loopback import Loopback

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
REQUESTS = 6


@pytest_asyncio.fixture
async def system():
    shape = {"model": ("dc-1", "dc-2")}
    async with Loopback(shape, PIPELINES) as running:
        running.platform.hosts.lag = 0.0
        yield running


async def ask(system):
    url = f"{system.entry_url()}/v1/pipelines/ask"
    headers = {"Customer": "acme"}
    async with system.session.post(url, data="1", headers=headers) as response:
        return response.status


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


async def test_listed_as_leaving_gets_nothing_new_though_its_link_is_open(system):
    sidecar = system.sidecar_by_name["model-0"]
    address = f"127.0.0.1:{sidecar.port}"
    host = PlatformHost(
        name="host-0", address=address, data_centre="dc-1", state="leaving"
    )
    system.platform.hosts.put(host, asyncio.get_running_loop().time())
    await until(lambda: system.entries[0].links.leaving == {"model-0"})
    assert [await ask(system) for _ in range(REQUESTS)] == [200] * REQUESTS
    assert not system.engine_by_name["model-0"].runs


async def test_listed_as_gone_is_still_used_while_its_link_is_open(system):
    assert (await system.store.hosts()).unwrap() == []
    assert [await ask(system) for _ in range(REQUESTS)] == [200] * REQUESTS


async def test_data_centre_out_twice_gets_nothing_and_returns_cold(system):
    document = system.entries[0].feed.document
    sidecar = system.sidecar_by_name["model-0"]
    for _ in range(2):
        document = document.successor("test", out_data_centres={"dc-1"})
        await system.publish(document)
        revision = document.revision
        await until(lambda: sidecar.feed.document.revision == revision)  # noqa: B023
        runs = len(system.engine_by_name["model-0"].runs)
        assert [await ask(system) for _ in range(REQUESTS)] == [200] * REQUESTS
        assert len(system.engine_by_name["model-0"].runs) == runs
        document = document.successor("test", out_data_centres=frozenset())
        await system.publish(document)
        revision = document.revision
        await until(lambda: sidecar.feed.document.revision == revision)  # noqa: B023
        assert sidecar.limiter.is_cold
        assert sidecar.limiter.limit == sidecar.limiter.cold_limit
