"""Gateways together keep within the rate that an upstream names in its answers."""

import asyncio
from random import Random

import pytest

from wharf_standins.soak.client import SoakClient
from wharf_standins.soak.request import RequestKind, SoakRequest
from wharf_standins.soak.upstream import SoakUpstream
from wharf_standins.soak.wire import configuration

GATEWAY_COUNT = 3
CLIENTS_PER_GATEWAY = 3
LIMIT = 1.0
CONTACT_SECONDS = 3.0  # the operators allow this time for the limit to be known
WINDOW_SECONDS = 4.0
# Of the other upstream: longer than gateways expect of one that they haven't used, so
# that all of them want the limited one.
OTHER_WORK_SECONDS = 0.06
MOST_IN_WINDOW = 1.5 * WINDOW_SECONDS * LIMIT + 5


@pytest.fixture
def runs():
    """Return the times of runs by upstream, which are two."""
    return {"upstream-0": [], "upstream-1": []}


@pytest.fixture
def upstreams(runs):
    def record_run(upstream, request_id):
        runs[upstream.name].append(asyncio.get_running_loop().time())

    return [SoakUpstream(name, record_run) for name in runs]


@pytest.fixture
async def gateways(run_gateways, upstreams):
    async with run_gateways(GATEWAY_COUNT, configuration(1), upstreams) as processes:
        yield processes


def _client(gateway, requests):
    clock = asyncio.get_running_loop().time

    def new_request(kind, gateway_name):
        requests.append(
            SoakRequest(f"{len(requests):016x}", kind, gateway_name, clock())
        )
        return requests[-1]

    return SoakClient(gateway, Random(1), new_request, lambda since: True, clock)


async def test_limit_that_an_upstream_names_holds_for_all_gateways_together(
    gateways, upstreams, runs
):
    """No gateway read the limit; a restart of one would have doubled it (capped)."""
    clock, requests = asyncio.get_running_loop().time, []
    for gateway in gateways:
        client = _client(gateway, requests)
        try:
            async with asyncio.timeout(20.0):
                while (await client.send(RequestKind.SAFE)).status != 200:
                    await asyncio.sleep(0.1)
                client.close()
        except TimeoutError:
            pytest.fail(f"{gateway.name} serves nothing:\n{gateway.output()}")
    # Gateways kept to an upstream without a limit, so that the test found no runs.
    upstream, other = upstreams
    upstream.work_seconds, other.work_seconds = 0.0, OTHER_WORK_SECONDS
    upstream.rate_limit = LIMIT
    requests.clear()
    tasks = [
        asyncio.create_task(_client(gateway, requests).run())
        for gateway in gateways
        for _ in range(CLIENTS_PER_GATEWAY)
    ]
    await asyncio.sleep(CONTACT_SECONDS)
    since = clock()
    await asyncio.sleep(WINDOW_SECONDS + 2.0)
    upstream.rate_limit = None
    limited_until = clock()
    await asyncio.sleep(CONTACT_SECONDS)
    free_since = clock()
    await asyncio.sleep(WINDOW_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

    limited = [at for at in runs[upstream.name] if since <= at < limited_until]
    most = max(sum(t <= u < t + WINDOW_SECONDS for u in limited) for t in limited)
    assert 2 <= most <= MOST_IN_WINDOW
    free = [at for at in runs[upstream.name] if at >= free_since]
    assert len(free) > 2 * MOST_IN_WINDOW
    finished = [request for request in requests if request.status is not None]
    assert {request.status for request in finished} == {200}
