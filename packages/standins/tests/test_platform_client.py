"""The client of the platform against the stand-in with injected faults."""

import asyncio
from random import Random

import aiohttp
import pytest
import pytest_asyncio
from result import Err, Ok

from wharf_control.document_change import DocumentChange
from wharf_coordination import Lease
from wharf_daemon.http_server import HttpServer
from wharf_platform import (
    CallLimiter,
    ConditionalUpdate,
    Conflict,
    LeaseManager,
    ObjectClient,
    PlatformHost,
    Unavailable,
    UnknownOutcome,
    read_lease,
)
from wharf_platform.configuration import CONFIGURATION_KEY, Document
from wharf_standins.platform import MAX_VALUE_BYTES, Platform


@pytest.fixture
def platform():
    return Platform()


@pytest_asyncio.fixture
async def client(platform):
    site = HttpServer(platform.application(), "127.0.0.1:0")
    await site.start()
    async with aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{site.port}"
        yield ObjectClient(session, url, limiter=CallLimiter(Random(1)))
    await site.stop()


async def test_conditional_write_conflicts_with_a_newer_version(client):
    first = (await client.put("a", b"1", 0)).unwrap()
    assert (await client.put("a", b"2", 0)).err() == Conflict("a", first.version)
    assert (await client.put("a", b"2", first.version)).is_ok()


async def test_recreated_key_gets_a_new_version(client):
    first = (await client.put("a", b"1", 0)).unwrap()
    assert (await client.delete("a", first.version)).is_ok()
    assert not (await client.get("a")).unwrap().exists
    second = (await client.put("a", b"1", 0)).unwrap()
    assert second.version > first.version


async def test_list_shows_the_keys_below_a_prefix(client):
    for key in ("a/1", "a/2", "b/1"):
        await client.put(key, b"", 0)
    assert sorted((await client.list_versions("a/")).unwrap()) == ["a/1", "a/2"]


async def test_host_list_lags(client, platform):
    now = asyncio.get_running_loop().time()
    fields = {"address": "10.0.0.1", "data_centre": "dc-1", "state": "leaving"}
    old = PlatformHost(name="old", **fields)
    platform.hosts.put(old, now - platform.hosts.lag)
    platform.hosts.put(PlatformHost(name="new", **fields), now)
    assert (await client.hosts()).unwrap() == [old]


async def test_megabyte_is_stored_and_larger_value_has_no_effect(client):
    assert (await client.put("a", bytes(MAX_VALUE_BYTES), 0)).is_ok()
    refused = await client.put("b", bytes(MAX_VALUE_BYTES + 1), 0)
    assert isinstance(refused.err(), Unavailable)
    assert not (await client.get("b")).unwrap().exists


async def test_write_with_lost_response_has_unknown_outcome(client, platform):
    platform.lose_answers = 1.0
    assert isinstance((await client.put("a", b"1", 0)).err(), UnknownOutcome)
    assert (await client.get("a")).unwrap().value == b"1"


async def test_writes_above_the_rate_limit_have_no_effect(client, platform):
    platform._writes.rate = 1.0
    assert (await client.put("a", b"1", 0)).is_ok()
    assert isinstance((await client.put("b", b"1", 0)).err(), Unavailable)
    assert "b" not in platform.object_by_key


async def test_lost_response_is_resolved_after_another_write(client, platform):
    update = ConditionalUpdate(client, Random(1))
    mine = DocumentChange("mine", lambda document: {"out_data_centres": {"dc-1"}})
    platform.lose_answers = 1.0
    stored = (await client.get(CONFIGURATION_KEY)).unwrap()
    await client.put(CONFIGURATION_KEY, mine.apply(stored).unwrap(), 0)
    platform.lose_answers = 0.0
    other = DocumentChange("other", lambda document: {"out_data_centres": {"dc-2"}})
    assert (await update.run(CONFIGURATION_KEY, other)).is_ok()
    stored = (await client.get(CONFIGURATION_KEY)).unwrap()
    assert mine.is_applied(stored)
    assert Document.from_json(stored.value).revision == 2


async def test_each_change_applies_once_while_responses_are_lost(client, platform):
    platform.lose_answers = 0.5
    update = ConditionalUpdate(client, Random(1), attempts=40)
    changes = [DocumentChange(f"c{number}", lambda _: {}) for number in range(8)]
    runs = (update.run(CONFIGURATION_KEY, change) for change in changes)
    assert all(run.is_ok() for run in await asyncio.gather(*runs))
    stored = (await client.get(CONFIGURATION_KEY)).unwrap()
    assert Document.from_json(stored.value).revision == len(changes)


async def test_only_probes_are_sent_during_an_outage(client, platform):
    platform.down = True
    results = [await client.get("a") for _ in range(200)]
    assert all(isinstance(result.err(), Unavailable) for result in results)
    assert platform.calls_by_kind["read"] < 10
    assert client.limiter.rejected_by_kind["read"] > 190


async def test_every_call_is_counted(client, platform):
    seen = []
    client.limiter.calls.subscribe(seen.append)
    await client.get("a")
    await client.put("a", b"", 0)
    assert seen == ["read", "write"]
    assert client.calls_by_kind == platform.calls_by_kind


async def test_next_lease_holder_has_a_higher_fencing_number(client, platform):
    first = LeaseManager(client, "rollouts", Lease("first"), Random(1))
    second = LeaseManager(client, "rollouts", Lease("second"), Random(2))
    platform.lose_answers = 1.0
    await first.step()
    await first.step()
    assert first.is_held()
    platform.lose_answers = 0.0
    assert await second.step() == Ok(None)
    assert not second.is_held()
    await first.release()
    await second.step()
    assert second.is_held()
    assert not first.is_held()
    record = (await read_lease(client, "rollouts")).unwrap()
    assert (record.holder, record.fencing) == ("second", 2)


async def test_lease_is_refused_while_the_store_is_down(client, platform):
    platform.down = True
    manager = LeaseManager(client, "rollouts", Lease("first"), Random(1))
    assert isinstance(await manager.step(), Err)
    assert not manager.is_held()


async def test_answer_without_a_status_is_an_unknown_outcome():
    """A status of 000 was read, and the era beside it taken for the store's."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        fields = b"Store-Era: 9\r\nContent-Length: 0"
        writer.write(b"HTTP/1.1 000 X\r\n%s\r\n\r\n" % fields)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    eras = []
    async with aiohttp.ClientSession() as session:
        client = ObjectClient(session, url, limiter=CallLimiter(Random(1)))
        client.eras.subscribe(eras.append)
        known = list(eras)
        answer = await client.put("a", b"1", 0)
    server.close()

    assert answer.err() == UnknownOutcome("a", "status 0")
    assert eras == known
