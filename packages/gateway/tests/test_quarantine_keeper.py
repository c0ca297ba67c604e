"""Quarantines are kept in the store by few writes, and read from it after a start."""

import asyncio
from dataclasses import asdict, replace

import pytest
from result import Err, Ok

from wharf_coordination.quarantine import Attribution, Quarantine, QuarantineEntry
from wharf_gateway.quarantine_document import QuarantineDocument
from wharf_gateway.quarantine_keeper import QuarantineKeeper
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.store_error import StoreUnavailable
from wharf_gateway.store.stored_object import StoredObject

UNIX_SHIFT = 1_000_000.0
ENTRY = QuarantineEntry(Attribution("deadly", 3, 95.0), 130.0, 30.0)


class Store:
    """A store that tells all keepers of changes at once."""

    def __init__(self):
        self.spec_by_name = {}
        self.calls = []
        self.keepers = []
        self.is_down = False

    async def create(self, kind, name, spec):
        if name in self.spec_by_name:
            self.calls.append(("conflict", name))
            return Err(StoreUnavailable("exists", 409))
        return await self.replace(kind, name, spec)

    async def replace(self, kind, name, spec):
        return self._change("write", name, spec)

    async def delete(self, kind, name):
        return self._change("delete", name, None)

    def _change(self, verb, name, spec):
        self.calls.append((verb, name))
        if self.is_down:
            return Err(StoreUnavailable("down"))
        if spec is None:
            self.spec_by_name.pop(name, None)
        else:
            self.spec_by_name[name] = spec
        stored = StoredObject(name, 1, spec, None, spec is None)
        for keeper in self.keepers:
            keeper.update_documents([stored], self.now)
        return Ok(b"")


class Guard:
    """A guard that holds the quarantines it is given."""

    def __init__(self):
        self.entry_by_feature = {}

    def entries(self, now):
        return list(self.entry_by_feature.values())

    def adopt(self, entry, now):
        self.entry_by_feature.setdefault(entry.attribution.feature, entry)

    def lift(self, feature, now):
        self.entry_by_feature.pop(feature, None)


class QuarantineGuard:
    """A guard that remembers what it lifted, as gateways do."""

    def __init__(self, name):
        self.quarantine = Quarantine(name)

    def entries(self, now):
        return self.quarantine.entries(now)

    def adopt(self, entry, now):
        self.quarantine.adopt(entry)

    def lift(self, feature, now):
        self.quarantine.lift(feature)


class Peers:
    is_candidate = True


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def add_keeper(store):
    def add(name, guard=None, clock_error=0.0):
        guard = guard or Guard()
        eras = StoreEras()
        eras.record(1, store.now)
        keeper = QuarantineKeeper(
            *(name, store, guard, Peers()),
            lambda: store.now + UNIX_SHIFT + clock_error,
            eras,
        )
        keeper.guard, keeper.eras = guard, eras
        store.keepers.append(keeper)
        stored = [StoredObject(n, 1, s) for n, s in store.spec_by_name.items()]
        keeper.replace_documents(stored, store.now)
        return keeper

    store.now = 100.0
    return add


async def _advance(store, seconds):
    for _ in range(round(seconds * 10)):
        store.now += 0.1
        for keeper in store.keepers:
            keeper.advance(store.now)
        await asyncio.sleep(0)
        await asyncio.sleep(0)


async def test_one_of_many_gateways_writes(store, add_keeper):
    for number in range(16):
        add_keeper(f"g{number}").guard.adopt(ENTRY, 100.0)

    await _advance(store, 5.0)

    assert store.calls[0] == ("write", "deadly")
    assert len(store.calls) <= 3  # those that were due at the same moment


async def test_gateway_that_starts_adopts_what_the_store_holds(store, add_keeper):
    add_keeper("g0").guard.adopt(ENTRY, 100.0)
    await _advance(store, 2.0)

    started = add_keeper("g1")

    [entry] = started.guard.entries(store.now)
    assert entry.attribution.feature == "deadly"
    assert entry.ends_at == pytest.approx(ENTRY.ends_at)


async def test_lifted_quarantine_is_deleted(store, add_keeper):
    keeper = add_keeper("g0")
    keeper.guard.adopt(ENTRY, 100.0)
    await _advance(store, 2.0)
    keeper.guard.entry_by_feature.clear()

    await _advance(store, 2.0)

    assert store.spec_by_name == {}


async def test_deletion_by_an_operator_ends_the_quarantine_at_all(store, add_keeper):
    keepers = [add_keeper(f"g{number}") for number in range(3)]
    for keeper in keepers:
        keeper.guard.adopt(ENTRY, 100.0)
    await _advance(store, 2.0)
    store.calls.clear()

    await store.delete("quarantines", "deadly")
    await _advance(store, 5.0)

    assert store.calls == [("delete", "deadly")]
    assert [keeper.guard.entries(store.now) for keeper in keepers] == [[], [], []]


async def test_longer_quarantine_replaces_the_stored_one(store, add_keeper):
    keeper = add_keeper("g0")
    keeper.guard.adopt(ENTRY, 100.0)
    await _advance(store, 2.0)
    longer = replace(ENTRY, ends_at=190.0, seconds=60.0)
    keeper.guard.entry_by_feature["deadly"] = longer

    await _advance(store, 2.0)

    assert store.spec_by_name["deadly"]["seconds"] == 60.0


async def test_outage_of_the_store_delays_the_write(store, add_keeper):
    store.is_down = True
    add_keeper("g0").guard.adopt(ENTRY, 100.0)
    await _advance(store, 10.0)
    assert len(store.calls) <= 2 * 5  # a creation every two seconds
    store.is_down = False

    await _advance(store, 3.0)

    assert "deadly" in store.spec_by_name


def test_host_with_a_wrong_clock_bounds_the_end():
    document = QuarantineDocument.from_entry(ENTRY, 100.0, 100.0 + UNIX_SHIFT)
    entry = document.to_entry("deadly", 100.0, 40.0 + UNIX_SHIFT)

    assert entry.ends_at == 130.0


async def test_unreadable_document_is_left_out(store, add_keeper):
    keeper = add_keeper("g0")
    stored = [
        StoredObject("a", 1, {"crashes": "many"}),
        StoredObject("b", 1, None),
        StoredObject(
            "deadly",
            1,
            asdict(QuarantineDocument.from_entry(ENTRY, 100.0, 100.0 + UNIX_SHIFT)),
        ),
    ]
    keeper.replace_documents(stored, 100.0)

    assert len(keeper.guard.entries(100.0)) == 1


def _restore(store, spec_by_name):
    """Return the store to a copy, which all keepers list."""
    store.spec_by_name = dict(spec_by_name)
    store.calls.clear()
    stored = [StoredObject(n, 1, s) for n, s in spec_by_name.items()]
    for keeper in store.keepers:
        keeper.eras.record(keeper.eras.current + 1, store.now)
        keeper.replace_documents(stored, store.now)


async def _three_keepers(store, add_keeper):
    """Return three gateways with the quarantine; the writer's clock is ahead."""
    writer = add_keeper("g0", QuarantineGuard("g0"), clock_error=3.0)
    writer.guard.adopt(ENTRY, store.now)
    await _advance(store, 2.0)
    for name in ("g1", "g2"):
        guard = QuarantineGuard(name)
        guard.adopt(ENTRY, store.now)
        add_keeper(name, guard)
    return store.keepers


# Guards against quarantines that are lost with the store's last seconds.
async def test_lost_document_is_written_again_once(store, add_keeper):
    for number in range(16):
        add_keeper(f"g{number}").guard.adopt(ENTRY, 100.0)
    await _advance(store, 5.0)

    _restore(store, {})
    await _advance(store, 5.0)

    assert "deadly" in store.spec_by_name
    assert store.calls[0] == ("write", "deadly")
    assert len(store.calls) <= 3  # those that were due at the same moment


async def test_document_older_than_the_quarantine_is_replaced(store, add_keeper):
    keepers = await _three_keepers(store, add_keeper)
    copy = dict(store.spec_by_name)
    longer = replace(ENTRY, ends_at=190.0, seconds=60.0)
    for keeper in keepers:
        keeper.guard.adopt(longer, store.now)
    await _advance(store, 3.0)

    _restore(store, copy)
    await _advance(store, 5.0)

    assert store.calls == [("write", "deadly")]
    assert store.spec_by_name["deadly"]["seconds"] == 60.0


# Guards against requests that are refused again after an operator has let them in.
async def test_deleted_quarantine_does_not_come_back(store, add_keeper):
    keepers = await _three_keepers(store, add_keeper)
    copy = dict(store.spec_by_name)
    await store.delete("quarantines", "deadly")
    await _advance(store, 3.0)

    _restore(store, copy)
    assert [keeper.guard.entries(store.now) for keeper in keepers] == [[], [], []]
    await _advance(store, 5.0)

    assert store.calls == [("delete", "deadly")]
    assert store.spec_by_name == {}


async def test_lifted_quarantine_does_not_come_back(store, add_keeper):
    keepers = await _three_keepers(store, add_keeper)
    copy = dict(store.spec_by_name)
    for keeper in keepers:
        keeper.guard.lift("deadly", store.now)
    await _advance(store, 3.0)

    _restore(store, copy)
    assert [keeper.guard.entries(store.now) for keeper in keepers] == [[], [], []]
    await _advance(store, 5.0)

    assert store.calls == [("delete", "deadly")]


# Guards against a quarantine that is lifted while the store is away.
async def test_quarantine_lifted_before_its_deletion_does_not_come_back(
    store, add_keeper
):
    keepers = await _three_keepers(store, add_keeper)
    copy = dict(store.spec_by_name)
    for keeper in keepers:
        keeper.guard.lift("deadly", store.now)

    _restore(store, copy)
    await _advance(store, 5.0)

    assert [keeper.guard.entries(store.now) for keeper in keepers] == [[], [], []]
    assert store.spec_by_name == {}


async def test_new_quarantine_after_a_deletion_is_adopted(store, add_keeper):
    keepers = await _three_keepers(store, add_keeper)
    await store.delete("quarantines", "deadly")
    crashed_again = QuarantineEntry(Attribution("deadly", 5, 110.0), 170.0, 60.0)
    document = QuarantineDocument.from_entry(
        crashed_again, store.now, store.now + UNIX_SHIFT
    )

    _restore(store, {"deadly": asdict(document)})

    assert [len(keeper.guard.entries(store.now)) for keeper in keepers] == [1, 1, 1]
