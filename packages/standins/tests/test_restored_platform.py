"""Configurations while the platform's store comes back from an older copy."""

import asyncio
from random import Random

import pytest_asyncio

from wharf_coordination import Lease
from wharf_platform import ORDERS_SUBJECT, Conflict, LeaseManager
from wharf_platform.configuration import CONFIGURATION_KEY, Document
from wharf_standins.loopback import Loopback

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
IN_FORCE_SECONDS = 5.0
SETTLE_SECONDS = 1.5
LEASE_SECONDS = 0.3


@pytest_asyncio.fixture
async def system():
    shape = {"model": ("dc-1", "dc-2")}
    async with Loopback(shape, PIPELINES, entries=2) as running:
        yield running


async def stored(system):
    """Return the stored object and its document."""
    found = (await system.store.get(CONFIGURATION_KEY)).unwrap()
    return found, Document.from_json(found.value)


async def publish(system, operation, *out):
    """Write the successor of the stored document, as wharfctl does."""
    centres = frozenset(out)
    while True:
        found, document = await stored(system)
        successor = document.successor(operation, found.era, out_data_centres=centres)
        value = successor.to_json()
        written = await system.store.put(CONFIGURATION_KEY, value, found.version)
        if not isinstance(written.err(), Conflict):
            return written.unwrap()


def feeds(system):
    daemons = (*system.entries, *system.sidecar_by_name.values())
    return [daemon.feed for daemon in daemons]


async def until_in_force(system, operation):
    async with asyncio.timeout(IN_FORCE_SECONDS):
        while not all(operation in feed.document.operations for feed in feeds(system)):
            await asyncio.sleep(0.01)


# Guards against a configuration that isn't adopted since its revision was given out
# before the store lost it.
async def test_change_after_the_loss_of_others_is_adopted(system):
    copy = system.platform.copy()
    for number in range(3):
        await publish(system, f"lost-{number}", "dc-1")
    await until_in_force(system, "lost-2")
    await system.platform.restore(copy)
    await publish(system, "again", "dc-2")
    await until_in_force(system, "again")
    assert {feed.document.out_data_centres for feed in feeds(system)} == {
        frozenset({"dc-2"})
    }


# Guards against a watch from a version that was given out again, which doesn't see
# what the version stands for now.
async def test_change_with_the_version_of_a_lost_one_is_adopted(system):
    copy = system.platform.copy()
    await publish(system, "lost", "dc-1")
    await until_in_force(system, "lost")
    lost, _ = await stored(system)
    system.platform.down = True
    await system.platform.wake_watches()
    await system.platform.restore(copy)
    system.platform.down = False
    _, document = await stored(system)
    again = document.successor("again", system.platform.era).to_json()
    system.platform.object_by_key[CONFIGURATION_KEY] = (lost.version, again)
    await until_in_force(system, "again")


# Guards against an older configuration that comes into force, or stays in the store,
# after a loss.
async def test_lost_configuration_stays_in_force_and_is_written_again(system):
    copy = system.platform.copy()
    await publish(system, "lost", "dc-1")
    await until_in_force(system, "lost")
    revisions = []
    for feed in feeds(system):
        feed.documents.subscribe(lambda document: revisions.append(document.revision))
    await system.platform.restore(copy)
    await asyncio.sleep(SETTLE_SECONDS)
    _, document = await stored(system)
    assert document.out_data_centres == {"dc-1"}
    assert "lost" in document.operations
    await until_in_force(system, "lost")
    assert min(revisions) >= 2
    writes = [key for key in document.operations if key.startswith("restored")]
    assert len(writes) == 1


# Guards against a fresh entry that keeps the older configuration of the copy.
async def test_fresh_entry_learns_the_lost_configuration(system):
    copy = system.platform.copy()
    await publish(system, "lost", "dc-1")
    await until_in_force(system, "lost")
    system.platform.down = True
    await system.platform.wake_watches()
    await system.platform.restore(copy)
    system.platform.down = False
    await system.replace_entry(1)
    await until_in_force(system, "lost")


async def take_lease(system, name):
    """Acquire the lease on orders under `name`; return its fencing number."""
    lease = Lease(name, LEASE_SECONDS)
    manager = LeaseManager(system.store, ORDERS_SUBJECT, lease, Random(1))
    async with asyncio.timeout(IN_FORCE_SECONDS):
        while not manager.is_held():
            await manager.step()
            await asyncio.sleep(LEASE_SECONDS / 10)
    fencing = lease.fencing
    await manager.release()
    return fencing


# Guards against orders that are refused as stale, or that two holders send under one
# fencing number, after a loss.
async def test_fencing_numbers_rise_after_a_loss(system):
    copy = system.platform.copy()
    lost = [await take_lease(system, name) for name in ("a", "b", "c")]
    await system.platform.restore(copy)
    assert await take_lease(system, "d") > max(lost)
