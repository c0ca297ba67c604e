"""The soak's store loses what was written since a copy, and says so."""

import aiohttp
import pytest

from wharf_adapter import names
from wharf_standins.soak.store import SoakStore


@pytest.fixture
async def store():
    store = SoakStore()
    await store.start()
    yield store
    await store.stop()


async def _get(store, query=""):
    url = f"http://127.0.0.1:{store.port}{names.OBJECTS_PATH}/config{query}"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        document = await response.json() if response.status == 200 else None
        return response.status, int(response.headers[names.STORE_ERA]), document


# A store that kept its objects, revisions or era would show nothing to gateways.
async def test_restored_store_has_the_objects_and_revisions_of_its_copy(store):
    await store.put("config", "main", {"version": 1})
    store.copy()
    _, _, before = await _get(store)
    await store.put("config", "main", {"version": 2})
    await store.put("config", "other", {"version": 3})
    _, _, lost = await _get(store)

    store.restore(0.0)
    status, era, restored = await _get(store)
    assert (status, era) == (200, 2)
    assert restored == before

    await store.put("config", "main", {"version": 4})
    _, _, written = await _get(store)
    assert before["asOf"] < written["asOf"] <= lost["asOf"]


async def test_watch_from_a_lost_revision_is_gone(store):
    await store.put("config", "main", {"version": 1})
    store.copy()
    await store.put("config", "main", {"version": 2})
    _, _, lost = await _get(store)
    store.restore(0.0)

    status, era, _ = await _get(store, f"?watch={lost['asOf']}&waitMs=100")
    assert (status, era) == (410, 2)


async def test_write_that_changes_nothing_has_no_revision(store):
    await store.put("config", "main", {"version": 1})
    _, _, before = await _get(store)
    await store.put("config", "main", {"version": 1})
    _, _, after = await _get(store)
    assert after == before
