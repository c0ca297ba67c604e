"""Which version serves, and how a rollout ends, if the old version isn't there."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest
from result import Err, Ok

from wharf_coordination.rollout_outcome import RolloutOutcome
from wharf_gateway.fleet import SOLE_GRACE_SECONDS, Fleet
from wharf_gateway.model.rollout_order import RolloutOrder
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.rollouts.rollout_manager import RolloutManager
from wharf_gateway.store.store_error import StoreUnavailable
from wharf_gateway.store.store_page import StorePage
from wharf_gateway.store.stored_object import StoredObject

RUNNING = RolloutOutcome.RUNNING
FINISHED = RolloutOutcome.FINISHED
TAKEN_BACK = RolloutOutcome.TAKEN_BACK
DURATION = 16.0
ORDER = RolloutOrder("s", "s", "v2", DURATION, None, 7)
OUTCOMES = [None, RUNNING, TAKEN_BACK, FINISHED]
UNFINISHED = [None, RUNNING, TAKEN_BACK]


class SpecDialect:
    """A dialect whose stored objects hold what is read from them."""

    def read_rollout(self, stored):
        return Ok(stored.spec)

    def read_upstream(self, stored, now):
        return Ok(stored.spec)

    def rollout_status(self, target, outcome):
        return outcome


class Peers:
    """A gateway without peers."""

    def post_all(self, message):
        pass

    def is_repeater(self, now):
        return False


@dataclass
class Site:
    """A store with an order and upstreams, and one gateway after the other."""

    order: RolloutOrder = ORDER
    versions: tuple = ("v1", "v2")
    now: float = 100.0
    written: list = field(default_factory=list)
    listings: int = 0
    on_list: Callable = lambda: None

    def start(self):
        """Start a gateway, which lists the store."""
        self.fleet = Fleet(SpecDialect())
        self.manager = RolloutManager(
            self.fleet,
            SpecDialect(),
            self,
            lambda pool, now: None,
            Peers(),
            lambda: self.now,
        )
        self.manager.wait_for_peers(self.now)
        self.fleet.replace_upstreams(self._upstreams(), self.now)
        self.manager.replace_orders([self._stored_order()], self.now)

    def show(self, *versions, recovered_at=None):
        """Let the store show upstreams of these versions."""
        self.versions = versions
        self.fleet.replace_upstreams(self._upstreams(), self.now, recovered_at)

    async def advance(self, seconds):
        """Let time go by; return the versions that served meanwhile."""
        served = set()
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            self.fleet.remove_expired(self.now)
            self.manager.advance(self.now)
            served.add(self.fleet.version("s"))
            for _ in range(3):
                await asyncio.sleep(0)
        return served

    def _upstreams(self):
        return [
            StoredObject(
                version,
                number,
                Upstream(version, "s", f"a:{number}", "dc", version, 4, False, 1),
            )
            for number, version in enumerate(self.versions)
        ]

    def _stored_order(self):
        return StoredObject(self.order.name, self.order.revision, self.order)

    async def list(self, kind):
        self.listings += 1
        self.on_list()
        return Ok(StorePage((self._stored_order(),), False, None))

    async def replace_status(self, kind, name, status, revision, may_send=None):
        if not may_send():
            return Err(StoreUnavailable("not sent"))
        self.written.append(status)
        self.order = replace(self.order, outcome=status, revision=revision + 1)
        self.manager.update_orders([self._stored_order()], self.now)
        return Ok(b"")


@pytest.fixture(autouse=True)
def no_waits(monkeypatch):
    """Let writes of an outcome follow each other at once."""
    module = "wharf_gateway.rollouts.outcome_writer.WRITE_INTERVAL_SECONDS"
    monkeypatch.setattr(module, 0.0)


@pytest.fixture
def site():
    return Site()


@pytest.mark.parametrize("is_fresh", [True, False])
@pytest.mark.parametrize("outcome", OUTCOMES)
async def test_old_version_serves_while_it_is_there(site, outcome, is_fresh):
    site.order = replace(ORDER, outcome=outcome)
    site.start()
    if not is_fresh:
        await site.advance(5.0)

    assert await site.advance(5.0) == {"v2" if outcome is FINISHED else "v1"}


@pytest.mark.parametrize("outcome", UNFINISHED)
async def test_only_version_left_serves_at_once(site, outcome):
    """Nothing was served until the order ended, and nothing at all after that."""
    site.order = replace(ORDER, outcome=outcome)
    site.start()
    await site.advance(5.0)

    site.show("v2")

    assert await site.advance(3 * DURATION) == {"v2"}
    assert TAKEN_BACK not in site.written


@pytest.mark.parametrize("outcome", UNFINISHED)
async def test_only_version_left_serves_soon_after_a_start(site, outcome):
    """A gateway that has just started sees the last state of a completed rollout that
    the store's copy holds (review case 9).
    """
    site.order = replace(ORDER, outcome=outcome)
    site.versions = ("v2",)
    site.start()
    await site.advance(SOLE_GRACE_SECONDS + 0.1)

    assert await site.advance(3 * DURATION) == {"v2"}
    assert TAKEN_BACK not in site.written


@pytest.mark.parametrize("outcome", [None, RUNNING])
async def test_rollout_without_another_version_is_finished_at_its_end(site, outcome):
    site.order = replace(ORDER, outcome=outcome)
    site.versions = ("v2",)
    site.start()

    await site.advance(0.8 * DURATION)
    assert FINISHED not in site.written
    await site.advance(0.2 * DURATION)
    assert site.written[-1] is FINISHED


@pytest.mark.parametrize("is_fresh", [True, False])
@pytest.mark.parametrize("outcome", UNFINISHED)
async def test_old_version_whose_entries_lapsed_in_an_outage_is_waited_for(
    site, outcome, is_fresh
):
    """They are back within two seconds of the store's return."""
    site.order = replace(ORDER, outcome=outcome)
    if is_fresh:
        site.versions = ("v2",)
        site.start()
    else:
        site.start()
        await site.advance(5.0)
        site.show("v2", recovered_at=site.now)

    served = await site.advance(1.9)
    site.show("v1", "v2")
    served |= await site.advance(DURATION)

    assert served - {None} == {"v1"}
    assert FINISHED not in site.written


@pytest.mark.parametrize("outcome", UNFINISHED)
async def test_only_version_goes_on_serving_beside_an_outage(site, outcome):
    site.order = replace(ORDER, outcome=outcome)
    site.start()
    await site.advance(5.0)
    site.show("v2")
    await site.advance(1.0)

    site.show("v2", recovered_at=site.now)

    assert await site.advance(5.0) == {"v2"}


async def test_old_version_that_comes_back_serves_again(site):
    site.start()
    await site.advance(5.0)
    site.show("v2")
    assert await site.advance(3.0) == {"v2"}

    site.show("v1", "v2")

    assert await site.advance(DURATION) == {"v1"}
    assert site.written[-1] is TAKEN_BACK


@pytest.mark.parametrize("is_known", [True, False])
async def test_suspected_version_is_not_finished_for_lack_of_another(site, is_known):
    """It is taken back once there is a version to go back to."""
    site.start()
    await site.advance(5.0)
    driver = site.manager.driver_by_service["s"]
    if is_known:
        driver.participant.veto("all calls fail")
    site.show("v2")
    await site.advance(2 * DURATION)
    assert site.written[-1] is (RUNNING if is_known else FINISHED)

    site.show("v1", "v2")
    await site.advance(1.0)
    assert site.written[-1] is (TAKEN_BACK if is_known else FINISHED)


async def test_version_is_not_taken_back_while_the_others_refuse_connections(site):
    """The old version's entries remain for some seconds after its upstreams end."""
    site.start()
    await site.advance(5.0)
    state = site.fleet.state_by_id["v1"]
    state.backoff_until = site.now + 2 * DURATION

    listings = site.listings
    await site.advance(1.5 * DURATION)
    assert TAKEN_BACK not in site.written
    assert site.listings == listings
    await site.advance(DURATION)
    assert site.written[-1] is TAKEN_BACK


async def test_version_is_not_taken_back_if_the_others_go_before_that_is_sent(site):
    site.start()
    await site.advance(5.0)
    site.on_list = lambda: site.show("v2")

    await site.advance(DURATION)

    assert site.listings > 1
    assert TAKEN_BACK not in site.written


async def test_completion_is_written_though_the_old_version_has_gone(site):
    """The old version may be gone before its end is in the store."""
    site.start()
    await site.advance(5.0)
    site.manager.driver_by_service["s"].outcome = FINISHED
    site.show("v2")

    await site.advance(0.5)

    assert site.written[-1] is FINISHED


async def test_old_version_that_goes_at_the_end_of_a_rollout_is_waited_for(site):
    """Upstreams that crash are back after some seconds."""
    site.start()
    await site.advance(0.8 * DURATION)
    site.show("v2")
    await site.advance(5.0)
    assert site.written == [RUNNING]

    site.show("v1", "v2")
    await site.advance(1.0)

    assert site.written == [RUNNING, TAKEN_BACK]


async def test_old_version_is_waited_for_a_little_longer_than_its_entries(site):
    site.start()
    await site.advance(5.0)
    site.show("v2", recovered_at=site.now)

    served = await site.advance(2.3)
    site.show("v1", "v2")

    assert "v2" not in served | await site.advance(1.0)


async def test_no_version_is_found_to_be_the_only_one_during_an_outage(site):
    site.start()
    await site.advance(5.0)
    site.fleet.is_store_readable = lambda: False

    site.fleet.remove("v1", "another has its address")

    assert await site.advance(5.0) == {None}


async def test_version_that_leaves_is_no_version_to_go_back_to(site):
    site.start()
    await site.advance(5.0)
    state = site.fleet.state_by_id["v1"]
    state.upstream = replace(state.upstream, is_draining=True)

    assert await site.advance(5.0) == {"v2"}


async def test_rollout_isnt_finished_if_its_version_has_gone_too(site):
    """Upstreams of the old version that leave were taken for the new one's."""
    site.start()
    await site.advance(5.0)
    state = site.fleet.state_by_id["v1"]
    state.upstream = replace(state.upstream, is_draining=True)
    site.fleet.remove("v2", "entry removed")

    await site.advance(2 * DURATION)

    assert FINISHED not in site.written


@pytest.mark.parametrize("outcome", [None, RUNNING])
async def test_version_chosen_before_its_order_was_read_is_given_up(site, outcome):
    """The upstreams are listed before the orders, and the new version may be the most
    common one.
    """
    site.order = replace(ORDER, outcome=outcome)
    site.versions = ("v2", "v1")
    fleet = Fleet(SpecDialect())
    fleet.replace_upstreams(site._upstreams(), site.now)
    assert fleet.version("s") == "v2"

    fleet.apply_order(site.order)

    assert fleet.version("s") == "v1"
