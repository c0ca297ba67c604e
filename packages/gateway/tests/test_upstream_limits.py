"""Gateways learn the limits that upstreams name, and keep them together."""

import pytest

from wharf_gateway.fleet import Fleet
from wharf_gateway.model.batching import Batching
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.model.fleet_configuration import FleetConfiguration
from wharf_gateway.model.service import Service
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.peers.codec import decode, encode
from wharf_gateway.peers.messages import LimitItem, LimitNotice
from wharf_gateway.routing.upstream_limits import UpstreamLimits


class Peers:
    """Links to the other gateways; the first two have links to all."""

    def __init__(self, group, name):
        self._group = group
        self._name = name
        self.sent = 0

    @property
    def is_candidate(self):
        return self._name in ("g0", "g1")

    def is_repeater(self, now):
        return self.is_candidate

    def post_all(self, message):
        received = decode(encode(message)).unwrap()
        for name, limits in self._group.limits_by_name.items():
            if name != self._name and (self.is_candidate or name in ("g0", "g1")):
                self.sent += 1
                limits.handle_notice(received, self._group.now)


class Group:
    """Some gateways and the upstreams u (of service s) and w (of steps)."""

    def __init__(self, size):
        self.now = 100.0
        self.limits_by_name, self.fleet_by_name, self.peers = {}, {}, []
        for number in range(size):
            self.add(f"g{number}")

    def add(self, name):
        fleet = Fleet(None)
        batching = Batching(1, 2, 4, 0.2, 0.05, 100.0, 4.0)
        services = {
            "s": Service("s", "/", 10, 0.0, 0.0),
            "steps": Service("steps", "/", 10, 0.0, 0.0, batching=batching),
        }
        fleet.configuration = FleetConfiguration(
            1, (), services, {}, CallerLimits(), False
        )
        fleet.add(Upstream("u", "s", "a:1", "dc", "v", 1, False, 1))
        fleet.add(Upstream("w", "steps", "a:2", "dc", "v", 1, False, 1))
        peers = Peers(self, name)
        self.peers.append(peers)
        self.fleet_by_name[name] = fleet
        self.limits_by_name[name] = UpstreamLimits(
            name, fleet, peers, lambda: self.limits_by_name
        )

    def answer(self, name, rate, upstream="u", sent_ago=0.1):
        limits = self.limits_by_name[name]
        limits.record_answer(upstream, rate, self.now - sent_ago, self.now)

    def rates(self, upstream="u"):
        return [
            state.limit.rate if state.limit else None
            for state in (f.state_by_id[upstream] for f in self.fleet_by_name.values())
        ]

    def own_rates(self, upstream="u"):
        return [
            fleet.state_by_id[upstream].limit.share.rate
            for fleet in self.fleet_by_name.values()
        ]

    def pass_time(self, seconds):
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for limits in self.limits_by_name.values():
                limits.advance(self.now)


@pytest.fixture
def group():
    return Group(6)


def test_limit_that_one_gateway_learns_is_known_to_all(group):
    """A gateway that had not been answered lately sent as much as before (capped)."""
    group.answer("g4", 1.5)

    assert group.rates() == [1.5] * 6


def test_shares_add_up_to_the_limit(group):
    group.answer("g4", 1.5)

    assert sum(group.own_rates()) == pytest.approx(1.5)
    assert sum(rate > 0 for rate in group.own_rates()) == 3


def test_answer_without_a_limit_ends_it_for_all(group):
    group.answer("g4", 1.5)
    group.now += 5.0
    group.answer("g5", None)

    assert group.rates() == [None] * 6


def test_overtaken_answer_does_not_end_a_limit(group):
    group.answer("g4", 1.5)
    group.now += 0.1
    group.answer("g4", None, sent_ago=0.5)

    assert group.rates() == [1.5] * 6


def test_late_notice_does_not_bring_a_limit_back(group):
    group.answer("g4", 1.5)
    group.now += 1.0
    group.answer("g4", None)
    late = group.limits_by_name["g5"]
    late.handle_notice(_notice("u", 1.5, seconds_ago=0.5), group.now)

    assert group.rates() == [None] * 6


def _notice(upstream, rate, seconds_ago):
    return LimitNotice((LimitItem(upstream, 1, rate, seconds_ago),))


def test_gateway_that_starts_is_told_within_a_second(group):
    group.answer("g4", 1.5)
    group.add("g6")
    group.pass_time(1.2)

    assert group.rates() == [1.5] * 7


def test_limit_ends_if_no_answer_names_it_any_more(group):
    group.answer("g4", 1.5)
    group.pass_time(9.0)
    assert group.rates() == [1.5] * 6
    group.pass_time(3.0)

    assert group.rates() == [None] * 6


def test_limit_of_few_requests_waits_longer_for_the_next_answer(group):
    group.answer("g4", 0.1)
    group.pass_time(40.0)
    assert group.rates() == [0.1] * 6
    group.pass_time(15.0)

    assert group.rates() == [None] * 6


def test_restarted_upstream_has_no_limit(group):
    group.answer("g4", 1.5)
    fleet = group.fleet_by_name["g4"]
    fleet.add(Upstream("u", "s", "a:1", "dc", "v", 1, False, 2))
    group.limits_by_name["g4"].handle_notice(_notice("u", 1.5, 0.1), group.now)

    assert fleet.state_by_id["u"].limit is None


def test_gateway_that_prepares_may_use_most_of_a_step_upstreams_limit(group):
    group.answer("g4", 2.0, upstream="w")

    assert group.own_rates("w") == [1.5] * 6


def test_small_changes_are_not_news(group):
    group.answer("g4", 1.5)
    sent = sum(peers.sent for peers in group.peers)
    for _ in range(20):
        group.now += 0.01
        group.answer("g4", 1.55)

    assert sum(peers.sent for peers in group.peers) == sent
