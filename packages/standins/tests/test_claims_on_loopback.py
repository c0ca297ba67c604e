"""Resends of one key over real entries while the store loses answers."""

import asyncio
import json
import time

import pytest
import pytest_asyncio

from wharf_daemon.entry import forwarded_claims
from wharf_standins.loopback import Loopback

STAGES = [
    {"name": "look", "pool": "model"},
    {"name": "book", "pool": "desk", "idempotent": False},
]
RESENDS = 8


@pytest_asyncio.fixture
async def system():
    # Enough of them to bear all resends of the first stage while cold.
    shape = {"model": ("dc-1",) * RESENDS, "desk": ("dc-1", "dc-2")}
    async with Loopback(shape, {"hold": {"stages": STAGES}}, entries=2) as running:
        yield running


def submit(system, entry, body='{"anvil": 3}', **headers):
    url = f"{system.entry_url(entry)}/v1/pipelines/hold"
    headers = {"Customer": "acme", "Idempotency-Key": "hold-3"} | headers
    return system.session.post(url, data=body, headers=headers)


async def answer(system, entry, **options):
    async with submit(system, entry, **options) as response:
        return response.status, await response.json()


def bookings(system):
    engines = system.engine_by_name
    return sum(len(engines[name].runs) for name in ("desk-0", "desk-1"))


async def test_resends_at_the_same_moment_run_once_and_get_one_answer(system):
    system.platform.lose_answers = 0.4
    answers = await asyncio.gather(
        *(answer(system, number % 2) for number in range(RESENDS))
    )
    assert bookings(system) == 1
    assert [status for status, _ in answers] == [200] * RESENDS, answers
    assert len({json.dumps(body) for _, body in answers}) == 1


async def test_store_that_is_down_refuses_the_stage_and_runs_nothing(system):
    system.platform.down = True
    status, refusal = await answer(system, 0)
    assert (status, refusal["code"]) == (503, 2009)
    assert bookings(system) == 0
    system.platform.down = False
    async with asyncio.timeout(10):
        while (await answer(system, 1))[0] != 200:
            await asyncio.sleep(0.05)
    assert bookings(system) == 1


async def test_request_without_a_key_makes_no_store_write(system):
    writes = system.platform.calls_by_kind["write"]
    url = f"{system.entry_url()}/v1/pipelines/hold"
    headers = {"Customer": "acme"}
    async with system.session.post(url, data="{}", headers=headers) as response:
        assert response.status == 200
    assert system.platform.calls_by_kind["write"] == writes


async def test_key_with_another_body_is_refused(system):
    assert (await answer(system, 0))[0] == 200
    status, refusal = await answer(system, 1, body='{"anvil": 4}')
    assert (status, refusal["code"]) == (422, 2012)
    assert bookings(system) == 1


async def test_claims_of_all_entries_are_written_by_the_preferred_sidecars(system):
    for number in range(RESENDS):
        headers = {"Idempotency-Key": f"hold-{number}"}
        assert (await answer(system, number % 2, **headers))[0] == 200
    writers = {
        name
        for name, sidecar in system.sidecar_by_name.items()
        if sidecar.store.calls_by_kind["write"]
    }
    assert writers <= {"desk-0", "desk-1"}
    assert not any(entry.store.calls_by_kind["write"] > 2 for entry in system.entries)


@pytest.fixture
def short_wait(monkeypatch):
    monkeypatch.setattr(forwarded_claims, "REPLY_TIMEOUT_SECONDS", 0.1)


async def test_entry_writes_itself_when_the_writers_do_not_reply(
    system, monkeypatch, short_wait
):
    async def be_silent(request):
        return None

    for sidecar in system.sidecar_by_name.values():
        monkeypatch.setattr(sidecar.claims, "handle", be_silent)
    answers = await asyncio.gather(answer(system, 0), answer(system, 1))
    assert [status for status, _ in answers] == [200, 200]
    assert bookings(system) == 1


async def test_writer_cut_off_from_the_store_refuses_nothing(system, monkeypatch):
    for sidecar in system.sidecar_by_name.values():
        monkeypatch.setattr(sidecar.store, "_base_url", "http://127.0.0.1:9")
    assert (await answer(system, 0))[0] == 200
    assert (await answer(system, 1))[0] == 200
    assert bookings(system) == 1


async def test_reply_lost_after_the_claim_was_written_still_runs_it_once(
    system, monkeypatch, short_wait
):
    for sidecar in system.sidecar_by_name.values():
        monkeypatch.setattr(sidecar.claims, "handle", without_reply(sidecar.claims))
    answers = await asyncio.gather(answer(system, 0), answer(system, 1))
    assert [status for status, _ in answers] == [200, 200]
    assert bookings(system) == 1


# Guards against a keyed request that runs again since its claim was lost.
@pytest.mark.parametrize("key", ["hold-3", "dated"])
async def test_store_restored_after_the_end_gives_the_answer_again(system, key):
    headers = {"Idempotency-Key": f"{int(time.time())}-3" if key == "dated" else key}
    copy = system.platform.copy()
    first = await answer(system, 0, **headers)
    assert first[0] == 200
    await system.platform.restore(copy)
    for entry in (1, 0):
        status, body = await answer(system, entry, **headers)
        assert (status, body) == first or body["code"] == 3006
    assert bookings(system) == 1


async def test_store_restored_during_the_run_runs_it_once(system):
    copy = system.platform.copy()
    first = asyncio.ensure_future(answer(system, 0))
    async with asyncio.timeout(10):
        while not bookings(system):
            await asyncio.sleep(0.001)
    await system.platform.restore(copy)
    status, body = await answer(system, 1)
    assert status == 200 or body["code"] == 3006
    assert (await first)[0] == 200
    status, body = await answer(system, 0)
    assert status == 200 or body["code"] == 3006
    assert bookings(system) == 1


def without_reply(claims):
    handle = claims.handle

    async def lose_reply(request):
        await handle(request)

    return lose_reply
