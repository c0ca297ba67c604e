"""Which requests are admitted, and the responses to the others."""

import asyncio

import pytest

from wharf_adapter import Dialect
from wharf_gateway.fleet import Fleet
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.request_admission import RequestAdmission
from wharf_gateway.store.stored_object import StoredObject

SPEC = {
    "version": 1,
    "routes": [
        {
            "name": name,
            "hostname": "h",
            "pathPrefix": f"/{name}/",
            "routeKind": "safe",
            "timeoutMs": 200,
            "sloMs": 100,
            "service": "s",
            "isPublic": name == "open",
        }
        for name in ("open", "closed")
    ],
    "tenants": [{"name": "t", "apiKeys": ["good"], "priority": 1}],
}


@pytest.fixture
def fleet():
    fleet = Fleet(Dialect())
    fleet.apply_configurations([StoredObject("main", 1, SPEC)], 0.0)
    return fleet


@pytest.fixture
async def admission(fleet, shutdown, route_times):
    clock = asyncio.get_running_loop().time
    return RequestAdmission(fleet, Dialect(), clock, shutdown, route_times)


def _request(path="/closed/x", key="good", call_id="1", is_read=True):
    fields = [("Host", "h"), ("Authorization", f"Bearer {key}")]
    fields += [("Vanillawharf-Attempt-Id", call_id)] if call_id else []
    now = asyncio.get_running_loop().time()
    request = InboundRequest("GET", path, Headers(tuple(fields)), now)
    if is_read:
        request.body_complete.set()
    return request


async def _status(admission, **request):
    answer = await admission.admit(_request(**request))
    return answer.unwrap_err().status if answer.is_err() else 200


async def test_key_identifies_the_customer(admission):
    context = (await admission.admit(_request())).unwrap()

    assert context.customer.name == "t"
    assert context.deadline - context.inbound.received_at == pytest.approx(0.2)


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        ({"path": "/nowhere/"}, 404),
        ({"key": "bad"}, 401),
        ({"key": "bad", "path": "/open/x"}, 200),
        ({"call_id": None}, 400),
        ({"is_read": False}, 408),
    ],
)
async def test_refused_request_gets_its_status(admission, request_, status):
    assert await _status(admission, **request_) == status


async def test_request_without_configuration_has_not_run(admission, fleet):
    fleet.configuration = None

    assert await _status(admission) == 503


async def test_older_configuration_is_ignored(admission, fleet):
    newer = SPEC | {"version": 2, "tenants": []}
    fleet.apply_configurations([StoredObject("main", 2, newer)], 0.0)
    fleet.apply_configurations([StoredObject("main", 3, SPEC)], 0.0)

    assert await _status(admission) == 401


def _begin_stop(shutdown, seconds):
    shutdown.begin(asyncio.get_running_loop().time() + seconds)


async def test_stopping_process_refuses_what_it_may_not_finish(admission, shutdown):
    _begin_stop(shutdown, 1.0)

    assert await _status(admission) == 503


# Guards against requests that are admitted although those of their route take longer
# than the process has left: they were cut off at its exit.
async def test_stopping_process_refuses_routes_that_take_longer_than_it_has_left(
    admission, shutdown, route_times
):
    _begin_stop(shutdown, 5.0)
    for _ in range(20):
        route_times.record("closed", 6.0, 4.0)
        route_times.record("open", 0.1, 0.1)

    assert await _status(admission) == 503
    assert await _status(admission, path="/open/x") == 200


# Guards against a request that comes over an open connection long after SIGTERM, is
# taken on, and is cut off at the exit.
async def test_stopping_process_takes_nothing_once_it_does_not_listen(
    admission, shutdown
):
    now = asyncio.get_running_loop().time()
    shutdown.begin(now + 60.0, closes_at=now)

    assert await _status(admission) == 503


async def test_stopping_process_still_names_bad_keys_and_paths(admission, shutdown):
    _begin_stop(shutdown, 1.0)

    assert await _status(admission, key="bad") == 401
    assert await _status(admission, path="/nowhere/") == 404


# Guards against a request whose body is still arriving when the process exits.
async def test_stop_refuses_a_request_whose_body_does_not_arrive_in_time(
    admission, shutdown, fleet
):
    longer = [route | {"timeoutMs": 20_000} for route in SPEC["routes"]]
    spec = SPEC | {"version": 2, "routes": longer}
    fleet.apply_configurations([StoredObject("main", 2, spec)], 0.0)
    loop = asyncio.get_running_loop()
    loop.call_later(0.05, shutdown.begin, loop.time() + 2.7)

    assert await _status(admission, is_read=False) == 503


# Guards against a request that begins to come before the process stops to listen, is
# read whole long after SIGTERM, is taken on, and is cut off at the exit.
async def test_stopping_process_refuses_a_request_read_once_it_does_not_listen(
    admission, shutdown
):
    loop = asyncio.get_running_loop()
    shutdown.begin(loop.time() + 60.0, closes_at=loop.time() + 0.05)
    request = _request(is_read=False)
    loop.call_later(0.1, request.body_complete.set)

    assert (await admission.admit(request)).unwrap_err().status == 503


async def test_request_keeps_its_route_if_a_configuration_drops_it(admission, fleet):
    # Guards against a request that is lost or refused as its route goes meanwhile.
    request = _request(is_read=False)
    answer = asyncio.create_task(admission.admit(request))
    await asyncio.sleep(0)
    newer = SPEC | {"version": 2, "routes": [], "tenants": []}
    fleet.apply_configurations([StoredObject("main", 2, newer)], 0.0)
    request.body_complete.set()

    assert (await answer).unwrap().route.name == "closed"
    assert await _status(admission) == 404
