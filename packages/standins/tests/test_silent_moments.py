"""Processes and upstreams that fall silent for a second and go on."""

import asyncio
import json
from collections import Counter

import pytest
import pytest_asyncio

from wharf_standins.loopback import Loopback
from wharf_standins.process_fleet import ProcessFleet

STAGES = [{"name": "answer", "pool": "model", "idempotent": False}]
PIPELINES = {"ask": {"stages": STAGES}}
CUSTOMER = {"Customer": "acme"}
STREAM = CUSTOMER | {"Accept": "text/event-stream"}
SILENT_SECONDS = 1.2
SERVICE_SECONDS = 0.2
PAUSE_SECONDS = 0.02
REQUESTS = 40


@pytest_asyncio.fixture
async def fleet(tmp_path):
    shape = {"model": ("dc-1", "dc-2")}
    async with ProcessFleet(
        tmp_path, shape, PIPELINES, entries=1, service_time=SERVICE_SECONDS
    ) as running:
        assert (await running.apply()).code == 0
        await running.until_linked()
        yield running


async def ask(session, address, note, headers=CUSTOMER):
    url = f"http://{address}/v1/pipelines/ask"
    async with session.post(url, data=json.dumps(note), headers=headers) as response:
        return response.status, await response.text()


# Guards against requests that a process loses, cuts or runs twice when it is frozen for
# a moment.
@pytest.mark.parametrize("name", ["entry-0", "model-0"])
async def test_frozen_process_loses_no_request(fleet, name):
    address, tasks = fleet.address_by_name["entry-0"], []
    frozen = asyncio.create_task(fleet.freeze(name, SILENT_SECONDS))
    for number in range(REQUESTS):
        headers = STREAM if number % 2 else CUSTOMER
        asking = ask(fleet.session, address, number, headers)
        tasks.append(asyncio.create_task(asking))
        await asyncio.sleep(PAUSE_SECONDS)
    answers = await asyncio.wait_for(asyncio.gather(*tasks), 10)
    await frozen
    assert [status for status, _ in answers] == [200] * REQUESTS
    assert all("event: end" in text for _, text in answers[1::2])
    runs = [run for engine in fleet.engine_by_name.values() for run in engine.runs]
    assert Counter(run.input for run in runs) == Counter(range(REQUESTS))
    assert all(run.completed for run in runs)


# Guards against an upstream that is taken for dead when it pauses in an answer.
@pytest.mark.parametrize("headers", [CUSTOMER, STREAM], ids=["whole", "stream"])
async def test_upstream_that_pauses_is_awaited(headers):
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as system:
        engine = system.engine_by_name["model-0"]
        engine.tokens = 2
        engine.batch.service_time = engine.tokens * SILENT_SECONDS
        address = f"127.0.0.1:{system.entries[0].port}"
        status, text = await ask(system.session, address, 1, headers)
        assert status == 200
        assert ("event: end" in text) == (headers is STREAM)
        assert [run.completed for run in engine.runs] == [True]
        assert not system.entries[0].facts.messages()
