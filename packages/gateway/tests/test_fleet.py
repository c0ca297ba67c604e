"""State of upstreams when their entries change or disappear."""

from dataclasses import dataclass

import pytest
from result import Err, Ok

from wharf_gateway.fleet import Fleet
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.restoration import GRACE_SECONDS
from wharf_gateway.store.store_watcher import MAX_RETRY_SECONDS
from wharf_gateway.store.stored_object import StoredObject


@dataclass
class EntryDialect:
    """Read the entries of these tests."""

    def read_upstream(self, stored, now):
        if not isinstance(stored.spec, dict):
            return Err("unreadable")
        draining = stored.spec.get("draining", False)
        started = stored.spec.get("started", 1)
        sequence = stored.spec.get("sequence", 1)
        return Ok(
            Upstream(
                *(stored.name, "s", "a:1", "dc-1", "v1", 4, draining, started),
                sequence=sequence,
            )
        )


@pytest.fixture
def fleet():
    fleet = Fleet(EntryDialect())
    fleet.update_upstreams([_entry("u1"), _entry("u2")], 0.0)
    return fleet


def _entry(name, revision=1, gone=False, spec=None):
    return StoredObject(name, revision, {} if spec is None else spec, is_deleted=gone)


def _names(fleet):
    return sorted(state.upstream.id for state in fleet.states("s"))


def test_draining_upstream_is_unusable(fleet):
    fleet.update_upstreams([_entry("u1", spec={"draining": True})], 1.0)

    assert _names(fleet) == ["u2"]


def test_removed_entry_takes_effect_at_once_without_an_outage(fleet):
    fleet.update_upstreams([_entry("u1", gone=True)], 10.0, recovered_at=5.0)

    assert _names(fleet) == ["u2"]


def test_entry_that_expired_in_an_outage_has_a_grace_period(fleet):
    fleet.replace_upstreams([_entry("u2")], 10.0, recovered_at=10.0)
    fleet.remove_expired(11.9)
    assert _names(fleet) == ["u1", "u2"]

    fleet.remove_expired(12.0)
    assert _names(fleet) == ["u2"]


def test_removed_entry_takes_effect_at_once_when_the_store_is_stable(fleet):
    """The store counts as stable three seconds after its return, and gateways reconnect
    within one second, the pause between attempts. An upstream that is then removed on
    purpose must not be kept, even if the gateway was the last to reconnect."""
    returned, stable = 10.0, 13.0
    reconnected = returned + MAX_RETRY_SECONDS
    fleet.update_upstreams([_entry("u1", gone=True)], stable, recovered_at=reconnected)

    assert _names(fleet) == ["u2"]


def test_reappearing_entry_keeps_its_upstream(fleet):
    fleet.replace_upstreams([_entry("u2")], 10.0, recovered_at=10.0)
    fleet.update_upstreams([_entry("u1")], 11.0, recovered_at=10.0)
    fleet.remove_expired(12.5)

    assert _names(fleet) == ["u1", "u2"]


def test_unreadable_entry_removes_only_its_own_upstream(fleet):
    fleet.update_upstreams([_entry("u1", spec="?"), _entry("u3")], 1.0)

    assert _names(fleet) == ["u2", "u3"]


def test_restart_under_the_same_id_resets_the_state(fleet):
    fleet.state_by_id["u1"].record_unreachable(1.0)
    fleet.update_upstreams([_entry("u1", spec={"started": 2})], 1.1)

    assert not fleet.state_by_id["u1"].in_backoff(1.1)


def test_data_centre_taken_out_is_unusable_until_it_is_back(fleet):
    fleet.update_evacuations([_entry("dc-1")], 1.0)
    assert _names(fleet) == []

    fleet.update_evacuations([_entry("dc-1", gone=True)], 2.0)
    assert _names(fleet) == ["u1", "u2"]


def _restored(fleet, *names, at=20.0, era=2):
    """Let the store come back from a copy with evacuations of these data centres."""
    fleet.eras.record(1, 0.0)
    fleet.eras.record(era, at)
    fleet.replace_evacuations([_entry(name) for name in names], at)


# Guards against requests to a data centre that is out while the operator writes again.
def test_evacuation_that_the_copy_lacks_holds_for_the_grace(fleet):
    fleet.replace_evacuations([_entry("dc-1")], 10.0)
    _restored(fleet)
    fleet.replace_evacuations([], 21.0)
    fleet.advance_evacuations(20.0 + GRACE_SECONDS - 0.1)
    assert _names(fleet) == []

    fleet.advance_evacuations(20.0 + GRACE_SECONDS)
    assert _names(fleet) == ["u1", "u2"]


def test_evacuation_that_is_ordered_again_holds(fleet):
    fleet.replace_evacuations([_entry("dc-1")], 10.0)
    _restored(fleet)
    fleet.update_evacuations([_entry("dc-1")], 21.5)
    fleet.advance_evacuations(20.0 + GRACE_SECONDS)

    assert _names(fleet) == []


def test_second_restoration_prolongs_the_grace(fleet):
    fleet.replace_evacuations([_entry("dc-1")], 10.0)
    _restored(fleet)
    _restored(fleet, at=23.0, era=3)
    fleet.advance_evacuations(23.0 + GRACE_SECONDS - 0.1)

    assert _names(fleet) == []


def test_evacuation_that_ends_after_a_restoration_ends_at_once(fleet):
    fleet.replace_evacuations([_entry("dc-1")], 10.0)
    _restored(fleet, "dc-1")
    fleet.update_evacuations([_entry("dc-1", gone=True)], 20.1)

    assert _names(fleet) == ["u1", "u2"]


def test_evacuation_missing_without_a_restoration_ends_at_once(fleet):
    fleet.replace_evacuations([_entry("dc-1")], 10.0)
    fleet.replace_evacuations([], 11.0)

    assert _names(fleet) == ["u1", "u2"]


# Guards against a data centre that stays out if its evacuation was written and deleted
# between two answers of a watch.
def test_evacuation_that_was_deleted_in_the_same_answer_does_not_hold(fleet):
    fleet.update_evacuations([_entry("dc-1"), _entry("dc-1", gone=True)], 1.0)
    assert fleet.out_data_centres == frozenset()

    fleet.update_evacuations([_entry("dc-1", gone=True), _entry("dc-1")], 2.0)
    assert fleet.out_data_centres == {"dc-1"}
