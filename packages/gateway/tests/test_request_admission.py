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
async def admission(fleet):
    return RequestAdmission(fleet, Dialect(), asyncio.get_running_loop().time)


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


async def test_stopping_process_refuses_what_it_may_not_finish(admission):
    admission.ends_at = asyncio.get_running_loop().time() + 1.0

    assert await _status(admission) == 503


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
