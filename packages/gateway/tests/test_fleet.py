"""What is believed of upstreams when their entries change or vanish."""

from dataclasses import dataclass

import pytest
from result import Err, Ok

from wharf_gateway.fleet import Fleet
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.store.store_watcher import MAX_RETRY_SECONDS
from wharf_gateway.store.stored_object import StoredObject


@dataclass
class EntryDialect:
    """Read the test's own entries."""

    def read_upstream(self, stored, now):
        if not isinstance(stored.spec, dict):
            return Err("unreadable")
        draining = stored.spec.get("draining", False)
        started = stored.spec.get("started", 1)
        return Ok(Upstream(stored.name, "s", "a:1", "dc-1", "v1", 4, draining, started))


@pytest.fixture
def fleet():
    fleet = Fleet(EntryDialect())
    fleet.change_upstreams([_entry("u1"), _entry("u2")], 0.0)
    return fleet


def _entry(name, revision=1, gone=False, spec=None):
    return StoredObject(name, revision, {} if spec is None else spec, is_deleted=gone)


def _names(fleet):
    return sorted(state.upstream.id for state in fleet.states("s"))


def test_a_draining_upstream_gets_nothing_new(fleet):
    fleet.change_upstreams([_entry("u1", spec={"draining": True})], 1.0)

    assert _names(fleet) == ["u2"]


def test_an_entry_that_goes_while_the_store_is_sound_counts_at_once(fleet):
    fleet.change_upstreams([_entry("u1", gone=True)], 10.0, recovered_at=5.0)

    assert _names(fleet) == ["u2"]


def test_an_entry_that_lapsed_in_an_outage_has_two_seconds_to_come_back(fleet):
    fleet.list_upstreams([_entry("u2")], 10.0, recovered_at=10.0)
    fleet.expire_lapsed(11.9)
    assert _names(fleet) == ["u1", "u2"]

    fleet.expire_lapsed(12.0)
    assert _names(fleet) == ["u2"]


def test_an_entry_that_goes_when_the_store_is_stable_counts_at_once(fleet):
    """The store counts as stable three seconds after its return, and a gateway hears
    it again within the second between two tries: an upstream that leaves by plan from
    then on isn't kept, however late the gateway's own return was."""
    returned, stable = 10.0, 13.0
    heard = returned + MAX_RETRY_SECONDS
    fleet.change_upstreams([_entry("u1", gone=True)], stable, recovered_at=heard)

    assert _names(fleet) == ["u2"]


def test_an_entry_that_came_back_stays(fleet):
    fleet.list_upstreams([_entry("u2")], 10.0, recovered_at=10.0)
    fleet.change_upstreams([_entry("u1")], 11.0, recovered_at=10.0)
    fleet.expire_lapsed(12.5)

    assert _names(fleet) == ["u1", "u2"]


def test_an_unreadable_entry_names_no_upstream_and_harms_no_other(fleet):
    fleet.change_upstreams([_entry("u1", spec="?"), _entry("u3")], 1.0)

    assert _names(fleet) == ["u2", "u3"]


def test_a_restart_under_the_same_id_forgets_what_was_seen(fleet):
    fleet.state_by_id["u1"].record_unreachable(1.0)
    fleet.change_upstreams([_entry("u1", spec={"started": 2})], 1.1)

    assert not fleet.state_by_id["u1"].in_backoff(1.1)


def test_a_data_centre_taken_out_gets_nothing_until_it_is_back(fleet):
    fleet.change_evacuations([_entry("dc-1")], 1.0)
    assert _names(fleet) == []

    fleet.change_evacuations([_entry("dc-1", gone=True)], 2.0)
    assert _names(fleet) == ["u1", "u2"]
