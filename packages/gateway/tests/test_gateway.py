"""What a gateway shows of the store that it follows."""

import asyncio
import json

from wharf_gateway.http.headers import Headers
from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.store.store_changes import StoreChanges
from wharf_gateway.store.store_position import StorePosition
from wharf_gateway.telemetry.exposition import expose


# Guards against calls on connections that have been dead since the store was away.
async def test_a_restoration_leaves_the_old_connections_to_the_store(
    gateway, raw_server
):
    async def read(reader, writer):
        await reader.read()
        writer.close()

    address = await raw_server(read)
    now = asyncio.get_running_loop().time()
    pool = gateway._store_pool
    idle = await pool.acquire(address, now)
    idle.is_reusable = True
    pool.release(address, idle, now)

    gateway._eras.record(4, now)
    assert not idle.is_closed
    gateway._eras.record(5, now)
    await asyncio.sleep(0.05)

    assert idle.is_closed


async def test_a_gateway_shows_the_era_and_restorations_of_the_store(gateway):
    assert gateway.dump()["store_era"] is None

    gateway._eras.record(4, 1.0)
    gateway._eras.record(5, 2.0)

    assert json.loads(json.dumps(gateway.dump()))["store_era"] == 5
    shown = expose(gateway.meter).decode()
    assert "wharf_store_era 5" in shown
    assert "wharf_store_restorations 1" in shown


class Responder:
    """A responder that records the status."""

    status = None

    def answer(self, status, headers=None, body=b""):
        self.status = status


# Guards against a request that waits until the process is sure of what it knows, and is
# still waiting when the process exits.
async def test_request_that_waits_after_a_pause_is_refused_before_a_stop_ends(gateway):
    now = asyncio.get_running_loop().time()
    gateway.pause_guard._doubtful_until = now + 1.0
    gateway.pause_guard._is_current = lambda: False
    gateway._shutdown.begin(now + 0.2, now - 1.0)
    request = InboundRequest("GET", "/", Headers((("Host", "h"),)), now)
    responder = Responder()

    await asyncio.wait_for(gateway.handle(request, responder), 0.5)

    assert responder.status == 503


# Guards against held upstreams that are released though nobody asks the store.
async def test_the_fleet_knows_whether_the_store_shows_changes(gateway):
    watcher = gateway._watch_upstreams()
    assert not gateway.fleet.is_store_readable()

    watcher._apply_listing(StoreChanges((), StorePosition(None, 1)))
    assert gateway.fleet.is_store_readable()

    watcher.unavailable_since = 1.0
    assert not gateway.fleet.is_store_readable()
