"""Waits for the limits of upstreams on routes that are split between services."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from wharf_coordination.rate_share import RateShare
from wharf_gateway.fleet import Fleet
from wharf_gateway.limit_waits import LimitWaits
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.model.fleet_configuration import FleetConfiguration
from wharf_gateway.model.target import Target
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.routing.upstream_limit import UpstreamLimit
from wharf_gateway.routing.upstream_selector import UpstreamSelector
from wharf_gateway.telemetry.meter import Meter


# Guards against an error inside, and so a 500 or no answer at all, on a route that a
# configuration splits between a service at its limits and one without upstreams.
@pytest.mark.parametrize("seed", range(8))
async def test_wait_is_for_an_upstream_of_the_service_that_was_drawn(shutdown, seed):
    clock = asyncio.get_running_loop().time
    now = clock()
    fleet = Fleet(None)
    fleet.configuration = FleetConfiguration(1, (), {}, {}, CallerLimits(), False)
    state = fleet.add(Upstream("u1", "full", "10.0.0.1:80", "a", "v1", 4, False, 0))
    state.limit = UpstreamLimit(50.0, now, RateShare(50.0, now))
    selector = UpstreamSelector(fleet, None, Random(seed))
    waits = LimitWaits(selector, shutdown, Meter(), clock)
    context = SimpleNamespace(
        route=SimpleNamespace(targets=(Target("full"), Target("empty"))),
        tried=set(),
        details=SimpleNamespace(id="r1"),
        deadline=now + 2.0,
        soft_deadline=now + 1.0,
    )

    assert await waits.wait(context) in (state, None)
