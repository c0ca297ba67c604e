"""Signals to entries and sidecars in processes that serve requests."""

import asyncio
import json
import signal
from collections import Counter

import pytest
import pytest_asyncio

from wharf_standins.process_fleet import ProcessFleet

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
CUSTOMER = {"Customer": "acme"}
STREAM = CUSTOMER | {"Accept": "text/event-stream"}
SERVICE_SECONDS = 0.5
REQUESTS = 20
ANSWER_SECONDS = 10.0


@pytest_asyncio.fixture
async def fleet(tmp_path):
    shape = {"model": ("dc-1", "dc-2")}
    async with ProcessFleet(
        tmp_path, shape, PIPELINES, entries=1, service_time=SERVICE_SECONDS
    ) as running:
        assert (await running.apply()).code == 0
        await running.until_linked()
        yield running


@pytest.fixture
def ask(fleet):
    """Return a function that starts requests as tasks, every second one a stream."""
    url = f"http://{fleet.address_by_name['entry-0']}/v1/pipelines/ask"

    async def post(note):
        headers = STREAM if note % 2 else CUSTOMER
        async with fleet.session.post(
            url, data=json.dumps(note), headers=headers
        ) as response:
            return response.status, await response.text()

    def begin():
        return [asyncio.create_task(post(note)) for note in range(REQUESTS)]

    return begin


@pytest.fixture
def runs(fleet):
    """Return a function that returns all runs of the upstreams."""
    engines = fleet.engine_by_name.values()
    return lambda: [run for engine in engines for run in engine.runs]


async def until(condition):
    async with asyncio.timeout(ANSWER_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


async def check_answers(tasks, runs):
    """Check that each request has run once and has a whole answer."""
    answers = await asyncio.wait_for(asyncio.gather(*tasks), ANSWER_SECONDS)
    assert [status for status, _ in answers] == [200] * REQUESTS
    assert all("event: end" in text for _, text in answers[1::2])
    assert Counter(run.input for run in runs()) == Counter(range(REQUESTS))
    assert all(run.completed for run in runs())


# Guards against requests that are cut by a signal to reload, which ended the process.
@pytest.mark.parametrize("name", ["entry-0", "model-0"])
async def test_reload_ends_no_request(fleet, ask, runs, name):
    asked = ask()
    await until(lambda: len(runs()) == REQUESTS)
    fleet.signal(name, signal.SIGHUP)
    await check_answers(asked, runs)
    assert await fleet.stop(name) == 0


# Guards against a second signal to stop that cuts the requests the first one lets end.
@pytest.mark.parametrize("name", ["entry-0", "model-0"])
async def test_second_signal_to_stop_ends_no_request(fleet, ask, runs, name):
    asked = ask()
    await until(lambda: len(runs()) == REQUESTS)
    fleet.signal(name, signal.SIGTERM)
    await asyncio.sleep(SERVICE_SECONDS / 4)
    stopped = asyncio.create_task(fleet.stop(name))
    await check_answers(asked, runs)
    assert await stopped == 0


# Guards against requests that are cut, or run again, when their entry and the sidecars
# stop at the same time.
async def test_stops_of_entry_and_sidecar_at_once_end_no_request(fleet, ask, runs):
    asked = ask()
    await until(lambda: len(runs()) == REQUESTS)
    names = ("entry-0", "model-0", "model-1")
    stops = [asyncio.create_task(fleet.stop(name)) for name in names]
    await check_answers(asked, runs)
    assert await asyncio.gather(*stops) == [0, 0, 0]
