"""The soak test reports each kind of violation, and a short run has no findings."""

import asyncio
import signal
from collections import Counter
from unittest.mock import patch

import pytest

from wharf_gateway.store.store_feed import MIN_FLEET_SIZE
from wharf_standins.soak.checks import check_requests
from wharf_standins.soak.disturbances import Disturbances
from wharf_standins.soak.fault import Fault, schedule
from wharf_standins.soak.gateway_process import GatewayProcess
from wharf_standins.soak.operator import SoakOperator
from wharf_standins.soak.request import RequestKind, ResponseState, SoakRequest
from wharf_standins.soak.run import SoakRun
from wharf_standins.soak.step_upstream import StepUpstream
from wharf_standins.soak.store import SoakStore
from wharf_standins.soak.wire import EVENTS, event, response_body

STREAM = b"".join(event("r1", number) for number in range(EVENTS))


def _request(kind=RequestKind.UNSAFE, **fields):
    defaults = {
        "status": 200,
        "body": STREAM if kind.is_stream else response_body("r1"),
        "is_signed": True,
        "state": ResponseState.COMPLETE,
        "run_times": [0.1],
        "is_undisturbed": True,
    }
    return SoakRequest("r1", kind, "gateway-0", 0.0, 0.2, **(defaults | fields))


@pytest.mark.parametrize("kind", list(RequestKind))
def test_complete_response_gives_no_finding(kind):
    assert check_requests([_request(kind)]) == []


@pytest.mark.parametrize(
    ("guarantee", "soak_request"),
    [
        ("runs once", _request(run_times=[0.1, 0.2])),
        ("runs once", _request(RequestKind.STREAM, run_times=[0.1, 0.2])),
        ("not run is true", _request(status=503, body=b"")),
        ("leaving upstreams", _request(runs_after_draining=1)),
        ("own whole answer", _request(is_signed=False)),
        ("own whole answer", _request(body=response_body("r2"))),
        ("own whole answer", _request(body=response_body("r1")[:-1])),
        (
            "own whole answer",
            _request(RequestKind.STREAM, body=STREAM[: len(STREAM) // 2]),
        ),
        (
            "own whole answer",
            _request(RequestKind.STREAM, body=event("r1", 1) + event("r1", 0)),
        ),
        (
            "planned work cuts nothing",
            _request(state=ResponseState.TRUNCATED, status=None),
        ),
        (
            "planned work cuts nothing",
            _request(state=ResponseState.PENDING, status=None),
        ),
    ],
)
def test_each_violation_is_found(guarantee, soak_request):
    assert [finding.guarantee for finding in check_requests([soak_request])] == [
        guarantee
    ]


def test_request_sent_as_connection_closes_is_not_lost():
    """In seed 12 the gateway stopped listening before it accepted a connection."""
    unread = _request(state=ResponseState.TRUNCATED, status=None, run_times=[])
    unread.ended_at = 0.1
    assert check_requests([unread]) == []

    unread.ended_at = 0.3
    assert len(check_requests([unread])) == 1


# Seed 315: the upstreams' process got no processor for 2 s, longer than any gateway
# waits for an event, and two streams were cut.
async def test_pause_of_the_soak_itself_is_a_disturbance():
    times = iter([0.0, 1.2, 10.0, 11.8])
    disturbances = Disturbances(lambda: next(times, 20.0))
    with patch("wharf_standins.soak.disturbances.WATCH_INTERVAL_SECONDS", 0):
        watch = asyncio.create_task(disturbances.watch_pauses("gateways"))
        for _ in range(10):
            await asyncio.sleep(0)
    watch.cancel()
    assert [round(seconds, 1) for seconds in disturbances.pauses] == [1.8]
    assert disturbances.is_calm(("gateways",), 0.0, 9.9)
    assert not disturbances.is_calm(("gateways",), 11.0, 12.0)
    assert disturbances.is_calm(("store",), 11.0, 12.0)


def test_truncated_response_after_unplanned_fault_is_allowed():
    truncated = _request(
        RequestKind.STREAM,
        body=STREAM[:30],
        state=ResponseState.TRUNCATED,
        is_undisturbed=False,
    )
    assert check_requests([truncated]) == []


def test_each_kind_of_seed_has_its_series():
    kinds = [{fault.kind for fault in schedule(seed, 6.0)} for seed in range(30)]
    assert all(found & {"stop", "stops"} for found in kinds[0::3])
    assert all("restored" in found for found in kinds[1::3])
    assert sum("stops" in found for found in kinds) > 1
    times = [f.at for f in schedule(4, 6.0) if f.kind == "restored"]
    assert len(times) == 2


async def _kill(gateway, signal_number, pause=0.0):
    gateway.send_signal(signal.SIGKILL)


async def _ignore(operator, name, entry):
    """Write no entry of a leaving upstream."""
    if entry["state"] != "draining":
        await PUT_UPSTREAM(operator, name, entry)


async def _lose(operator, kind):
    """Write no version of the configuration after the first."""
    operator.versions.append(operator.next_version(kind))


def _mix(upstream, piece):
    result = RUN_PIECE(upstream, piece)
    if "handle" in result:
        upstream.owner_by_result[result["handle"]] = "another"
    return result


PUT_UPSTREAM, RUN_PIECE = SoakOperator.put_upstream, StepUpstream.run_piece


# A run whose checks are given no requests, times or versions would find nothing, as
# when the gateways used no upstream that left, by chance.
def test_faults_put_in_on_purpose_are_found():
    soak_run = SoakRun(1, 5.0)
    soak_run.faults = [
        Fault(0.2, "leave", 0, 0.0),
        Fault(0.2, "route", 0, 0.0),
        Fault(3.5, "stop", 0, 0.0),
    ]
    with (
        patch.object(GatewayProcess, "restart", _kill),
        patch.object(SoakOperator, "put_upstream", _ignore),
        patch.object(SoakOperator, "configure", _lose),
        patch.object(StepUpstream, "run_piece", _mix),
        patch.object(SoakStore, "names", lambda store, kind: set()),
    ):
        findings = asyncio.run(soak_run.run())
    assert {finding.guarantee for finding in findings} == {
        "configuration in time",
        "gateways registered",
        "leaving upstreams",
        "own whole answer",
        "planned work cuts nothing",
        "served after faults",
    }


# A store that isn't restored, or gateways that aren't asked, would show no way back.
def test_gateway_that_goes_back_after_a_restoration_is_found():
    soak_run = SoakRun(1, 4.0)
    soak_run.faults = [
        Fault(0.2, "route", 0, 0.0),
        Fault(2.5, "restored", 999, 0.3),
        Fault(2.7, "kill", 0, 0.2),
    ]
    # A process that starts before the operator writes again knows the copy alone.
    one_incarnation = property(lambda gateway: 1, lambda gateway, count: None)
    with (
        patch("wharf_standins.soak.run.WRITE_AGAIN_SECONDS", 4.0),
        patch.object(GatewayProcess, "incarnation", one_incarnation, create=True),
    ):
        findings = asyncio.run(soak_run.run())
    assert "configuration goes back" in {finding.guarantee for finding in findings}


@pytest.mark.parametrize("seed", [3, 4, 12])
def test_short_run_has_no_findings(seed):
    assert asyncio.run(SoakRun(seed, 3.0).run()) == []


# Gateways that are fed by others ignored changes with revisions given out before.
def test_many_gateways_follow_changes_after_a_restoration():
    soak_run = SoakRun(1, 6.0, MIN_FLEET_SIZE)
    soak_run.faults = [
        *(Fault(0.3 * number, "route", 0, 0.0) for number in range(1, 7)),
        Fault(3.0, "restored", 367, 0.1),
        Fault(5.0, "route", 0, 0.0),
    ]
    findings = asyncio.run(soak_run.run())
    found = Counter(finding.guarantee for finding in findings)
    assert not findings, f"{found}, the first {findings[0]}"
