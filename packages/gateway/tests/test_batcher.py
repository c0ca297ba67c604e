"""Calls with pieces keep within the limits that upstreams name."""

import asyncio

import pytest
from result import Ok

from wharf_coordination.rate_share import RateShare
from wharf_gateway.fleet import Fleet
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.model.fleet_configuration import FleetConfiguration
from wharf_gateway.model.piece_result import PieceResult
from wharf_gateway.model.service import Service
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.routing.upstream_limit import UpstreamLimit
from wharf_gateway.stages.batcher import Batcher
from wharf_gateway.stages.pool import Pool


class Client:
    """A client whose calls succeed at once; `calls` has their times."""

    def __init__(self, clock):
        self.calls = []
        self._clock = clock

    async def run(self, upstream, batch, timeout, now):
        self.calls.append(now)
        return Ok([PieceResult(f"{upstream.address}/{id(job)}") for job in batch])


@pytest.fixture
def fleet(batching):
    fleet = Fleet(None)
    service = Service("s", "/", 10, 0.0, 0.0, batching=batching)
    fleet.configuration = FleetConfiguration(
        1, (), {"s": service}, {}, CallerLimits(), False
    )
    fleet.add(Upstream("u", "s", "a:1", "dc", "v", 1, False, 1))
    return fleet


async def test_upstream_at_its_limit_gets_no_call(fleet, make_job):
    now = [100.0]
    client = Client(lambda: now[0])
    batcher = Batcher(fleet, client, "s", Pool.named("everywhere"), lambda: now[0])
    share = RateShare(0.5, now[0])
    fleet.state_by_id["u"].limit = UpstreamLimit(0.5, now[0], share)

    for number in range(100):
        batcher.submit([make_job(f"p{number}", 200.0, hard_deadline=300.0)], now[0])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        now[0] += 0.1

    assert 4 <= len(client.calls) <= 6
