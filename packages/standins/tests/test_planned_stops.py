"""Planned stops of separate processes under load cut no request."""

import asyncio
import json
from collections import Counter
from itertools import count, cycle

import pytest_asyncio

from wharf_standins.process_fleet import ProcessFleet

REQUESTS = 2000
CALLERS = 40
ENTRY_STOPS_AT = 500
SIDECAR_STOPS_AT = 1000
POLL_SECONDS = 0.05
STAGES = ("draft", "polish")
PIPELINES = {"ask": {"stages": [{"name": name, "pool": "model"} for name in STAGES]}}


class Balancer:
    """Follow the entries' readiness and send callers to the ready ones in turn."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._turn = cycle(fleet.entry_names)
        self._ready = set(fleet.entry_names)

    async def follow(self):
        while True:
            for name in self._fleet.entry_names:
                ready = await self._fleet.is_ready(name)
                (self._ready.add if ready else self._ready.discard)(name)
            await asyncio.sleep(POLL_SECONDS)

    def url(self):
        name = next(name for name in self._turn if name in self._ready)
        return f"http://{self._fleet.address_by_name[name]}/v1/pipelines/ask"


@pytest_asyncio.fixture
async def fleet(tmp_path):
    shape = {"model": ("dc-1", "dc-2", "dc-3")}
    async with ProcessFleet(tmp_path, shape, PIPELINES) as running:
        assert (await running.apply()).code == 0
        await running.until_linked()
        yield running


async def ask(fleet, balancer, number):
    """Return None if the answer is whole and the caller's own, or what it is."""
    note = {"note": number}
    streaming = number % 2 == 1
    headers = {"Customer": "acme"}
    if streaming:
        headers["Accept"] = "text/event-stream"
    try:
        async with fleet.session.post(
            balancer.url(), data=json.dumps(note), headers=headers
        ) as response:
            text = await response.text()
    except Exception as error:
        return repr(error)
    is_own = _is_own_stream if streaming else _is_own_whole
    return None if is_own(text, note) else text


def _is_own_whole(text, note):
    return json.loads(text).get("echo") == note


def _is_own_stream(text, note):
    events = [event.split("\n") for event in text.strip().split("\n\n")]
    *chunks, (kind, closing) = events
    data = [json.loads(line.removeprefix("data: ")) for _, line in chunks]
    return (
        kind == "event: end"
        and json.loads(closing.removeprefix("data: ")) == {"chunks": len(chunks)}
        and [chunk["sequence"] for chunk in data] == list(range(len(chunks)))
        and json.loads(data[0]["text"]) == note
    )


async def test_stops_of_an_entry_and_a_sidecar_cut_no_request(fleet):
    balancer = Balancer(fleet)
    follower = asyncio.create_task(balancer.follow())
    numbers, stops, failures = count(), [], []

    async def call():
        while (number := next(numbers)) < REQUESTS:
            if number == ENTRY_STOPS_AT:
                stops.append(asyncio.create_task(fleet.stop("entry-0")))
            if number == SIDECAR_STOPS_AT:
                stops.append(asyncio.create_task(fleet.stop("model-0")))
            if failure := await ask(fleet, balancer, number):
                failures.append((number, failure))

    await asyncio.gather(*(call() for _ in range(CALLERS)))
    assert await asyncio.gather(*stops) == [0, 0]
    follower.cancel()
    assert failures == []
    runs = [run for engine in fleet.engine_by_name.values() for run in engine.runs]
    run_counts = Counter((run.input["note"], run.stage) for run in runs)
    assert run_counts == Counter(
        (number, stage) for number in range(REQUESTS) for stage in STAGES
    )
    assert all(run.completed for run in runs)
    assert {run.upstream for run in runs} == set(fleet.engine_by_name)
