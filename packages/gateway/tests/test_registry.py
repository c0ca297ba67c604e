"""Registrations of gateways that the store loses."""

import asyncio
from dataclasses import asdict
from random import Random
from types import SimpleNamespace

import pytest
from result import Err, Ok

from wharf_gateway.peers import registry as module
from wharf_gateway.peers.gateway_entry import GatewayEntry
from wharf_gateway.peers.registry import Registry
from wharf_gateway.restoration import GRACE_SECONDS
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.store_error import StoreUnavailable
from wharf_gateway.store.stored_object import StoredObject

NAMES = ("a", "b", "c")


class Store:
    """A store that tells registries of changes at once."""

    def __init__(self):
        self.spec_by_name = {}
        self.registries = []
        self.calls = []
        self.is_down = False

    async def create(self, kind, name, spec):
        self.calls.append(("create", name))
        if self.is_down:
            return Err(StoreUnavailable("down", 503))
        if name in self.spec_by_name:
            return Err(StoreUnavailable("exists", 409))
        return self._change(name, spec)

    async def replace(self, kind, name, spec):
        self.calls.append(("replace", name))
        return self._change(name, spec)

    def _change(self, name, spec):
        self.spec_by_name[name] = spec
        for registry in self.registries:
            registry.update_entries([StoredObject(name, 1, spec)], 0.0)
        return Ok(b"")

    def delete(self, name):
        del self.spec_by_name[name]
        for registry in self.registries:
            registry.update_entries([StoredObject(name, 1, is_deleted=True)], 0.0)

    def objects(self):
        return [StoredObject(name, 1, spec) for name, spec in self.spec_by_name.items()]


@pytest.fixture
async def store(monkeypatch):
    monkeypatch.setattr(module.asyncio, "sleep", _no_sleep)
    store = Store()
    tasks = []
    for name in NAMES:
        settings = SimpleNamespace(
            name=name, host="10.0.0.1", peer_port=1, data_centre="dc", capacity=1.0
        )
        registry = Registry(
            settings, store, Random(1), lambda entry_by_name: None, StoreEras()
        )
        registry.eras = registry._eras
        registry.eras.record(1, 0.0)
        store.registries.append(registry)
        tasks.append(asyncio.create_task(registry.register()))
    await _settle()
    store.calls.clear()
    yield store
    for task in tasks:
        task.cancel()


_sleep = asyncio.sleep


async def _no_sleep(seconds):
    await _sleep(0)


async def _settle():
    for _ in range(20):
        await _sleep(0)


def _restore(store, names, now):
    """Return the store to a copy that has only the entries of `names`."""
    store.spec_by_name = {name: store.spec_by_name[name] for name in names}
    for registry in store.registries:
        registry.eras.record(registry.eras.current + 1, now)
        registry.replace_entries(store.objects(), now)


def _known(store):
    return [sorted(registry.entry_by_name) for registry in store.registries]


# Guards against a gateway that a restored store has lost, and that no new one finds.
async def test_lost_registration_is_written_again_once(store):
    _restore(store, ("a",), 10.0)
    await _settle()

    assert sorted(store.calls) == [("create", "b"), ("create", "c")]
    assert _known(store) == [list(NAMES)] * 3


async def test_deleted_registration_is_written_again_at_any_time(store):
    store.delete("b")
    await _settle()

    assert store.calls == [("create", "b")]


async def test_older_registration_is_replaced(store):
    old = asdict(GatewayEntry("10.0.0.9:1", "dc", 1.0))
    store.spec_by_name["b"] = old
    _restore(store, NAMES, 10.0)
    assert store.registries[0].entry_by_name["b"].address == "10.0.0.1:1"
    await _settle()

    assert store.calls == [("replace", "b")]


async def test_registration_that_fails_is_tried_again(store):
    store.is_down = True
    _restore(store, ("a", "b"), 10.0)
    await _settle()
    store.is_down = False
    await _settle()

    assert _known(store) == [list(NAMES)] * 3


async def test_listing_with_all_entries_costs_no_writes(store):
    _restore(store, NAMES, 10.0)
    await _settle()

    assert store.calls == []


# Guards against shares of limits and retries that jump while gateways register again.
async def test_others_are_kept_until_the_grace_is_over(store):
    store.is_down = True
    _restore(store, ("a",), 10.0)
    for registry in store.registries:
        registry.advance(10.0 + GRACE_SECONDS - 0.1)
    assert _known(store) == [list(NAMES)] * 3

    for registry in store.registries:
        registry.advance(10.0 + GRACE_SECONDS)
    assert _known(store) == [["a"]] * 3


async def test_deleted_entry_of_another_gateway_is_not_kept(store):
    store.is_down = True
    _restore(store, ("a", "b"), 10.0)
    store.delete("b")

    assert _known(store) == [["a", "c"]] * 3


async def test_entries_missing_without_a_restoration_are_dropped(store):
    store.is_down = True
    store.registries[0].replace_entries(store.objects()[:1], 10.0)

    assert _known(store)[0] == ["a"]
