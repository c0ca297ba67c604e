"""The soak finds gateways that follow an outdated configuration."""

import pytest

from wharf_standins.soak.configuration_checks import check_configuration
from wharf_standins.soak.configuration_version import ConfigurationVersion
from wharf_standins.soak.request import RequestKind, ResponseState, SoakRequest

OLD, NEW = frozenset({"route-1", "key-1"}), frozenset({"route-4", "key-4"})
VERSIONS = [
    ConfigurationVersion(1, 0.0, OLD, OLD),
    ConfigurationVersion(4, 10.0, NEW, NEW),
]


def _request(feature, status, sent_at, **fields):
    times = [sent_at + 0.01] if status == 200 else []
    request = SoakRequest(
        "r1", RequestKind.SAFE, "gateway-0", sent_at, sent_at + 0.1, status
    )
    request.state = ResponseState.COMPLETE
    request.feature, request.run_times = feature, times
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def _check(*requests, is_in_touch=True, is_slowed=False):
    return [
        finding.guarantee
        for finding in check_configuration(
            requests, VERSIONS, lambda *_: is_in_touch, lambda *_: is_slowed
        )
    ]


@pytest.mark.parametrize(
    ("feature", "status"),
    [("route-1", 200), ("key-1", 200), ("route-4", 404), ("key-4", 401)],
)
def test_old_version_is_allowed_until_the_bound(feature, status):
    assert _check(_request(feature, status, 11.9)) == []
    assert _check(_request(feature, status, 12.1)) == ["configuration in time"]


def test_bound_applies_to_gateways_in_touch():
    assert _check(_request("route-4", 404, 12.1), is_in_touch=False) == []


def test_refusal_without_a_verdict_shows_no_version():
    assert _check(_request("route-4", 503, 12.1)) == []


@pytest.mark.parametrize(
    ("feature", "status"),
    [("route-1", 200), ("key-1", 200), ("route-4", 404), ("key-4", 401)],
)
def test_gateway_that_goes_back_is_found_whatever_the_disturbance(feature, status):
    shown = _request("key-4", 200, 10.5)
    back = _request(feature, status, 10.9)
    assert _check(shown, back, is_in_touch=False) == ["configuration goes back"]


def test_going_back_has_a_slack_that_is_longer_on_slowed_gateways():
    shown = _request("key-4", 200, 10.5)
    assert _check(shown, _request("route-1", 200, 10.7), is_in_touch=False) == []
    late = _request("route-1", 200, 10.9)
    assert _check(shown, late, is_in_touch=False, is_slowed=True) == []


def test_another_incarnation_or_gateway_has_not_gone_back():
    shown = _request("key-4", 200, 10.5)
    for fields in ({"incarnation": 1}, {"gateway": "gateway-1"}):
        other = _request("route-1", 200, 10.9, **fields)
        assert _check(shown, other, is_in_touch=False) == []


def test_request_must_be_answered_by_its_time_out():
    late = _request(None, 504, 5.0, ended_at=8.6)
    assert _check(late) == ["answered by the time-out"]
    late.ended_at = 8.4
    assert _check(late) == []
