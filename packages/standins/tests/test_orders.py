"""Orders reach an upstream under the current fencing number only."""

import asyncio

import pytest_asyncio

from wharf_coordination import Code, Lease
from wharf_platform import ORDERS_SUBJECT, LeaseManager
from wharf_standins.loopback import Loopback

LEASE_SECONDS = 0.2
PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}


@pytest_asyncio.fixture
async def system():
    async with Loopback({"model": ("dc-1",)}, PIPELINES, entries=2) as running:
        yield running


def keeper(system, entry):
    lease = Lease(entry.settings.name, LEASE_SECONDS)
    return LeaseManager(entry.store, ORDERS_SUBJECT, lease, entry._rng)


async def take(contender):
    async with asyncio.timeout(5):
        while not contender.is_held():
            await contender.step()
            await asyncio.sleep(0.01)


def give(entry, fencing, operation="load_version"):
    return entry.orders.send("model-0", operation, "2", fencing)


def obeyed(system):
    records = system.engine_by_name["model-0"].orders.records
    return [record.fencing for record in records]


async def test_holder_paused_past_its_lease_does_no_harm(system):
    first, second = (keeper(system, entry) for entry in system.entries)
    await take(first)
    paused_fencing = first.lease.fencing
    await take(second)
    # The upstream checks nothing, and the second holder has given no order yet.
    refused = await give(system.entries[0], paused_fencing)
    assert refused.unwrap_err().code is Code.STALE_FENCING
    assert (await give(system.entries[1], second.lease.fencing)).is_ok()
    assert obeyed(system) == [second.lease.fencing]


async def test_fresh_sidecar_refuses_orders_while_the_store_is_down(system):
    contender = keeper(system, system.entries[0])
    await take(contender)
    fencing = contender.lease.fencing
    system.platform.down = True
    refused = await give(system.entries[0], fencing)
    assert refused.unwrap_err().code is Code.STORE_UNAVAILABLE
    system.platform.down = False
    assert (await give(system.entries[0], fencing)).is_ok()
    assert obeyed(system) == [fencing]


async def test_sidecar_that_knows_the_number_passes_orders_during_an_outage(system):
    contender = keeper(system, system.entries[0])
    await take(contender)
    fencing = contender.lease.fencing
    assert (await give(system.entries[0], fencing)).is_ok()
    system.platform.down = True
    assert (await give(system.entries[0], fencing, "unload_version")).is_ok()
    refused = await give(system.entries[0], fencing - 1)
    assert refused.unwrap_err().code is Code.STALE_FENCING


async def test_refusal_of_an_upstream_that_checks_is_passed_on(system):
    orders = system.engine_by_name["model-0"].orders
    orders.checks_fencing, orders.fencing = True, 9
    refused = await give(system.entries[0], 8)
    assert refused.unwrap_err().code is Code.STALE_FENCING


async def test_order_to_an_unknown_upstream_is_refused(system):
    refused = await system.entries[0].orders.send("nobody", "load_version", "2", 1)
    assert refused.unwrap_err().code is Code.NOT_FOUND
