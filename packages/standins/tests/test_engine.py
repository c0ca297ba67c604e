"""Stand-in engine: cold start, faults, orders, streams and their records."""

import asyncio
import json
from random import Random

import aiohttp
import pytest
import pytest_asyncio

from wharf_daemon.http_server import HttpServer
from wharf_standins.engine import Engine
from wharf_standins.fault_rule import FaultKind, FaultRule
from wharf_standins.load_meter import LoadMeter
from wharf_standins.plain_service import PlainService
from wharf_standins.prefix_cache import PrefixCache

HEADERS = {"Attempt": "a", "Request": "r", "Version": "1"}
BODY = json.dumps({"input": "note", "stages": {}})


@pytest.fixture
def engine():
    return Engine("model-1", "dc-1", service_time=0.02, cold_bearable=1)


@pytest_asyncio.fixture
async def call(engine):
    site = HttpServer(engine.application(), "127.0.0.1:0")
    await site.start()
    url = f"http://127.0.0.1:{site.port}"
    async with aiohttp.ClientSession(url) as session:

        async def post(path="/v1/run", data=BODY, **headers):
            sent = HEADERS | headers
            async with session.post(path, data=data, headers=sent) as response:
                return response.status, await response.text()

        yield post
    await site.stop()


async def test_cold_engine_fails_above_what_it_bears(engine, call):
    statuses = [status for status, _ in await asyncio.gather(call(), call())]
    assert sorted(statuses) == [200, 500]
    assert [run.completed for run in engine.runs].count(True) == 1


async def test_warm_engine_bears_more(engine, call):
    engine.batch.completed = engine.batch.warm_after
    statuses = [status for status, _ in await asyncio.gather(call(), call())]
    assert statuses == [200, 200]


async def test_fault_hits_only_its_version(engine, call):
    engine.faults.append(FaultRule(FaultKind.FAIL, version="2"))
    assert (await call())[0] == 200
    assert (await call(Version="2"))[0] == 500


async def test_crash_cuts_and_restart_is_another_incarnation(engine, call):
    engine.faults.append(FaultRule(FaultKind.CRASH, text="note"))
    with pytest.raises(aiohttp.ClientError):
        await call()
    engine.faults.clear()
    engine.restart()
    assert (await call())[0] == 200
    assert [run.incarnation for run in engine.runs] == [1, 2]
    assert [run.completed for run in engine.runs] == [False, True]


async def test_stream_resumes_and_counts_its_lines(call):
    _, whole = await call("/v1/stream")
    _, rest = await call("/v1/stream", **{"Resume-From": "6"})
    assert json.loads(whole.splitlines()[-1]) == {"end": 8}
    assert whole.splitlines()[6:8] == rest.splitlines()[:2]
    assert json.loads(rest.splitlines()[-1]) == {"end": 2}


async def test_old_order_is_refused_only_if_fencing_is_checked(engine, call):
    new = json.dumps({"operation": "load_version", "subject": "1", "fencing": 5})
    old = json.dumps({"operation": "load_version", "subject": "2", "fencing": 4})
    engine.orders.checks_fencing = True
    statuses = [(await call("/v1/orders", data=order))[0] for order in (new, old)]
    assert statuses == [200, 409]
    assert (await call(Version="2"))[0] == 503
    engine.orders.checks_fencing = False
    assert (await call("/v1/orders", data=old))[0] == 200
    assert (await call(Version="2"))[0] == 200


def test_cache_events_come_late_and_with_gaps():
    cache = PrefixCache(size=2, lag=1.0, loss=0.3, rng=Random(1))
    for number in range(40):
        assert not cache.use(f"note {number}".encode(), now=float(number))
    assert cache.use(b"note 39", now=40.0)
    published = cache.events(after=0, now=20.5)
    numbers = [event["number"] for event in published]
    assert max(event["at"] for event in published) <= 19.5
    assert numbers == sorted(numbers)
    assert 0 < len(numbers) < numbers[-1]
    assert cache.events(after=numbers[-1], now=20.5) == []


async def test_effect_of_a_plain_service_outlives_its_caller():
    service = PlainService("hold-1", "dc-1", service_time=0.05)
    site = HttpServer(service.application(), "127.0.0.1:0")
    await site.start()
    url = f"http://127.0.0.1:{site.port}/v1/run"
    timeout = aiohttp.ClientTimeout(total=0.02)
    async with aiohttp.ClientSession() as session:
        with pytest.raises(TimeoutError):
            await session.post(url, data=BODY, headers=HEADERS, timeout=timeout)
    await site.stop()
    assert service.effects_by_input == {'"note"': 1}


def test_load_is_reported_late():
    meter = LoadMeter(lag=1.0)
    for second in range(3):
        meter.change(1, now=float(second))
    assert [meter.reported(now=at) for at in (0.5, 1.5, 2.5, 9.0)] == [0, 1, 2, 3]
