"""All processes adopt a configuration in time, also while the store is down."""

import asyncio
import json

import pytest_asyncio

from wharf_standins.process_fleet import ProcessFleet

IN_FORCE_SECONDS = "2"
PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
OK, FAULTY, NOT_IN_FORCE = 0, 2, 6


@pytest_asyncio.fixture
async def fleet(tmp_path):
    async with ProcessFleet(tmp_path, {"model": ("dc-1", "dc-2")}, PIPELINES) as fleet:
        assert (await fleet.apply()).code == OK
        await fleet.until_linked()
        yield fleet


async def take_out(fleet, data_centre, wait=IN_FORCE_SECONDS):
    options = ("--platform", fleet.platform_url, "--wait", wait, "--json")
    return await fleet.control("take-out", data_centre, *options)


async def ask(fleet, name, note):
    url = f"http://{fleet.address_by_name[name]}/v1/pipelines/ask"
    headers = {"Customer": "acme"}
    async with fleet.session.post(url, json=note, headers=headers) as response:
        return response.status, await response.json()


async def wait_for_revision(fleet, name, revision):
    async with asyncio.timeout(10):
        while (await fleet.dump(name))["revision"] < revision:
            await asyncio.sleep(0.02)


async def test_change_takes_effect_in_time(fleet):
    result = await take_out(fleet, "dc-1")
    assert (result.code, json.loads(result.output)["behind"]) == (OK, [])
    fleet.engine_by_name["model-0"].runs.clear()
    answers = [await ask(fleet, "entry-0", number) for number in range(20)]
    assert [status for status, _ in answers] == [200] * 20
    assert fleet.engine_by_name["model-0"].runs == []
    unknown = await take_out(fleet, "dc-9")
    assert unknown.code == FAULTY
    assert "dc-1, dc-2" in json.loads(unknown.output)["faults"][0]["expected"]


async def test_change_propagates_when_store_fails_after_accepting(fleet):
    fleet.is_store_cut = True
    result = await take_out(fleet, "dc-2")
    assert (result.code, json.loads(result.output)["behind"]) == (OK, [])
    await fleet.stop("model-0")
    await fleet.start_sidecar("model-0")
    await wait_for_revision(fleet, "model-0", 2)
    peers = list(fleet.address_by_name.values())
    await fleet.start_entry("entry-new", peers=peers)
    await wait_for_revision(fleet, "entry-new", 2)
    async with asyncio.timeout(10):
        while (await ask(fleet, "entry-new", {"note": 1}))[0] != 200:
            await asyncio.sleep(0.02)
    assert fleet.engine_by_name["model-1"].runs == []


async def test_wait_names_process_that_does_not_answer(fleet):
    await fleet.stop("entry-1")
    result = await take_out(fleet, "dc-1", wait="0.2")
    output = json.loads(result.output)
    assert (result.code, output["outcome"]) == (NOT_IN_FORCE, "not_in_force")
    assert [state["name"] for state in output["behind"]] == ["entry-1"]
