"""What a gateway shows of the store that it follows."""

import json

import pytest

from wharf_gateway.gateway import Gateway
from wharf_gateway.settings import GatewaySettings
from wharf_gateway.telemetry.exposition import expose


@pytest.fixture
async def gateway():
    return Gateway(
        GatewaySettings(
            name="a",
            data_centre="dc-1",
            host="127.0.0.1",
            listen="127.0.0.1:1",
            ready_listen="127.0.0.1:2",
            peer_port=3,
            store="127.0.0.1:4",
            dialect="wharf_adapter",
        )
    )


async def test_a_gateway_shows_the_era_and_restorations_of_the_store(gateway):
    assert gateway.dump()["store_era"] is None

    gateway._eras.record(4, 1.0)
    gateway._eras.record(5, 2.0)

    assert json.loads(json.dumps(gateway.dump()))["store_era"] == 5
    shown = expose(gateway.meter).decode()
    assert "wharf_store_era 5" in shown
    assert "wharf_store_restorations 1" in shown
