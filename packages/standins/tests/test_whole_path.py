"""Requests through entry, sidecars and upstreams in one process."""

import json

import pytest_asyncio

from wharf_standins.loopback import Loopback

STAGES = ("encode", "retrieve", "rerank", "generate")


@pytest_asyncio.fixture
async def system():
    shape = dict.fromkeys(STAGES, ("dc-1", "dc-2"))
    stages = [{"name": stage, "pool": stage} for stage in STAGES]
    async with Loopback(shape, {"report": {"stages": stages}}) as running:
        yield running


def post(system, body, **headers):
    url = f"{system.entry_url()}/v1/pipelines/report"
    return system.session.post(url, data=body, headers={"Customer": "acme"} | headers)


async def test_request_gets_its_own_response(system):
    async with post(system, json.dumps({"note": 7})) as response:
        assert response.status == 200
        assert (await response.json())["echo"] == {"note": 7}


async def test_stream_ends_with_its_chunk_count(system):
    headers = {"Accept": "text/event-stream"}
    async with post(system, '"n"', **headers) as response:
        events = (await response.text()).strip().split("\n\n")
    assert events[-1] == 'event: end\ndata: {"chunks": 8}'
    assert len(events) == 9


async def test_bad_body_is_refused_without_a_run(system):
    async with post(system, "{") as response:
        refusal = await response.json()
    assert response.status == 400
    assert (refusal["code"], refusal["ran"]) == (1001, "no")
    assert not any(engine.runs for engine in system.engine_by_name.values())
