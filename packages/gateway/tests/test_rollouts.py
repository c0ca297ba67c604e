"""Rollouts on the serving path: who gets the new version, who judges, what is told."""

import asyncio
from dataclasses import dataclass, field, replace
from random import Random

import pytest
from result import Err, Ok

from wharf_coordination.rollout_outcome import RolloutOutcome
from wharf_gateway.fleet import Fleet
from wharf_gateway.model.rollout_order import RolloutOrder
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.peers.messages import RolloutSample, ShareNotice
from wharf_gateway.rollouts.rollout_driver import RolloutDriver
from wharf_gateway.rollouts.rollout_manager import RolloutManager
from wharf_gateway.rollouts.rollout_progress import SHARE_TTL_SECONDS, RolloutProgress
from wharf_gateway.store.stored_object import StoredObject

ORDER = RolloutOrder("s", "s", "v2", 16.0, None, 7)
TICK_SECONDS = 0.1


@dataclass
class OrderDialect:
    """Take orders as they are."""

    def read_rollout(self, stored):
        return Ok(stored.spec) if stored.spec else Err("unreadable")

    def rollout_status(self, target, outcome):
        return (target, outcome)


@dataclass
class Store:
    """Take statuses, unless it is away."""

    written: list = field(default_factory=list)

    async def replace_status(self, kind, name, status, revision):
        self.written.append((name, status, revision))
        return Ok(b"")


@dataclass
class Peers:
    """No peers."""

    link_by_name: dict = field(default_factory=dict)


@pytest.fixture
def fleet():
    fleet = Fleet(None)
    for number, version in enumerate(("v1", "v1", "v2", "v2")):
        fleet.add(
            Upstream(f"u{number}", "s", f"a:{number}", "dc", version, 4, False, 1)
        )
    return fleet


@pytest.fixture
def keeper(fleet):
    return RolloutManager(
        fleet, OrderDialect(), Store(), lambda pool, now: None, Peers(), lambda: 0.0
    )


def _ids(states):
    return sorted(state.upstream.id for state in states)


def _stored(order):
    return StoredObject(order.name, order.revision, order)


def test_a_new_version_gets_nothing_without_an_order(fleet):
    assert _ids(fleet.states("s")) == ["u0", "u1"]
    assert _ids(fleet.canary_states("s")) == []


def test_a_gateway_that_starts_amid_a_rollout_keeps_to_the_old_version(fleet):
    """Also where the new version has more upstreams by then."""
    fleet.add(Upstream("u9", "s", "a:9", "dc", "v2", 4, False, 1))
    fleet.take_order(ORDER)

    assert _ids(fleet.states("s")) == ["u0", "u1"]
    assert _ids(fleet.canary_states("s")) == ["u2", "u3", "u9"]


def test_a_finished_rollout_moves_all_and_one_taken_back_none(fleet):
    fleet.take_order(replace(ORDER, outcome=RolloutOutcome.FINISHED))
    assert _ids(fleet.states("s")) == ["u2", "u3"]


def test_a_version_taken_back_gets_nothing(fleet):
    fleet.take_order(replace(ORDER, outcome=RolloutOutcome.TAKEN_BACK))

    assert _ids(fleet.states("s")) == ["u0", "u1"]
    assert _ids(fleet.canary_states("s")) == []


def test_without_news_of_the_share_nothing_goes_to_the_new_version(keeper):
    keeper.apply_orders([_stored(ORDER)], 0.0)
    keeper.handle_share_notice(ShareNotice("s", "v2", 1.0, 3.0), 5.0)

    assert keeper.is_canary("s", "r1", 5.0)
    assert not keeper.is_canary("s", "r1", 5.0 + SHARE_TTL_SECONDS)
    assert not keeper.is_canary("other", "r1", 5.0)


def test_a_notice_of_another_target_is_ignored(keeper):
    keeper.apply_orders([_stored(ORDER)], 0.0)
    keeper.handle_share_notice(ShareNotice("s", "v3", 1.0, 3.0), 5.0)

    assert not keeper.is_canary("s", "r1", 5.0)


async def test_the_driver_writes_each_state_once(keeper, fleet):
    keeper.apply_orders([_stored(ORDER)], 0.0)
    keeper.advance(0.1)
    keeper.advance(0.2)
    await asyncio.sleep(0)

    assert keeper._store.written == [("s", ("v2", RolloutOutcome.RUNNING), 7)]


@dataclass
class Fault:
    """How the new version's answers differ, from a time on, on one route or all."""

    failing: float = 0.0
    factor: float = 1.0
    begins_at: float = 0.0
    route: str = ""


def _play(fault, rate, seed):
    """Return outcome, end and requests to the new version; two routes, one order."""
    rng = Random(seed)
    driver = RolloutDriver.begin(RolloutProgress(ORDER, 0.0), "v1", 0.0)
    now, new_calls = 0.0, 0
    while driver.outcome is None and now < ORDER.duration:
        now += TICK_SECONDS
        driver.advance(now)
        share = driver.share(now)
        for _ in range(round(rate * TICK_SECONDS)):
            is_new = rng.random() < share
            new_calls += is_new
            route = rng.choice(("r1", "r2"))
            hit = is_new and now >= fault.begins_at and fault.route in ("", route)
            failed = rng.random() < (fault.failing if hit else 0.01)
            seconds = rng.uniform(0.2, 0.4) * (fault.factor if hit else 1.0)
            version = "v2" if is_new else "v1"
            driver.add(RolloutSample("s", version, route, 3, failed, seconds), now)
    return driver.outcome, now, new_calls


@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize("rate", [20, 90])
def test_a_good_version_is_finished_in_time(rate, seed):
    outcome, now, _ = _play(Fault(), rate, seed)

    assert outcome is RolloutOutcome.FINISHED
    assert now < ORDER.duration


@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize(
    "fault",
    [
        Fault(failing=0.47),
        Fault(failing=0.47, begins_at=2.7),
        Fault(failing=0.5, route="r2"),
        Fault(factor=8.0),
    ],
)
def test_a_bad_version_is_taken_back_while_few_requests_reach_it(fault, seed):
    """A tenth of the requests and fifty more are the operators' bound."""
    rate = 90
    outcome, now, new_calls = _play(fault, rate, seed)

    assert outcome is RolloutOutcome.TAKEN_BACK
    assert new_calls <= 0.1 * rate * now + 50
