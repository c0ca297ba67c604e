"""Upstreams whose entries come back from a copy of the store."""

import pytest

from wharf_adapter import Dialect
from wharf_gateway.fleet import EXPIRY_GRACE_SECONDS, HELD_SECONDS, Fleet
from wharf_gateway.routing import upstream_memory
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.stored_object import StoredObject

RESTORED_AT = 20.0


@pytest.fixture
def fleet():
    fleet = Fleet(Dialect(), StoreEras())
    fleet.eras.record(1, 0.0)
    fleet.replace_upstreams([_entry("u1", 5), _entry("u2", 5)], 1.0)
    return fleet


def _entry(name, sequence, state="ready", born=1000, gone=False):
    spec = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "dc",
        "version": "v1",
        "slots": 4,
        "state": state,
        "coldLeftMs": 0,
        "seqNo": sequence,
        "born": born,
    }
    return StoredObject(name, 1, None if gone else spec, is_deleted=gone)


def _restore(fleet, *entries):
    _restore_again(fleet, RESTORED_AT, *entries)


def _restore_again(fleet, now, *entries):
    fleet.eras.record(fleet.eras.current + 1, now)
    fleet.replace_upstreams(entries, now)


def _names(fleet):
    return sorted(state.upstream.id for state in fleet.states("s"))


# Guards against requests to an upstream that was draining before the restoration.
@pytest.mark.parametrize("sequence", [5, 8])
def test_draining_upstream_is_not_ready_again_by_an_older_entry(fleet, sequence):
    fleet.update_upstreams([_entry("u1", 8, "draining")], 10.0)
    _restore(fleet, _entry("u1", sequence), _entry("u2", 5))
    assert _names(fleet) == ["u2"]

    fleet.replace_upstreams([_entry("u1", sequence), _entry("u2", 5)], 21.0)
    fleet.remove_expired(RESTORED_AT + 2 * HELD_SECONDS)
    assert _names(fleet) == ["u2"]


def test_upstream_that_reports_ready_after_draining_is_used(fleet):
    fleet.update_upstreams([_entry("u1", 8, "draining")], 10.0)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))
    fleet.update_upstreams([_entry("u1", 9)], 21.0)

    assert _names(fleet) == ["u1", "u2"]


def test_delayed_older_entry_does_not_end_draining(fleet):
    fleet.update_upstreams([_entry("u1", 8, "draining")], 10.0)
    fleet.update_upstreams([_entry("u1", 7)], 10.1)

    assert _names(fleet) == ["u2"]


# Guards against requests to an upstream that has left, which the copy still has.
def test_upstream_that_left_is_not_used_again(fleet):
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 10.0)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))
    assert _names(fleet) == ["u2"]

    fleet.update_upstreams([_entry("u1", 5, gone=True)], 23.6)
    fleet.remove_expired(RESTORED_AT + HELD_SECONDS)
    assert _names(fleet) == ["u2"]


@pytest.mark.parametrize("again", [_entry("u1", 6), _entry("u1", 5)])
def test_upstream_whose_entry_is_written_again_is_used(fleet, again):
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 10.0)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))
    fleet.update_upstreams([again], 21.0)

    assert _names(fleet) == ["u1", "u2"]


@pytest.mark.parametrize("later", [_entry("u1", 6), _entry("u1", 1, born=2000)])
def test_upstream_with_a_later_entry_in_the_listing_is_used(fleet, later):
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 10.0)
    _restore(fleet, later, _entry("u2", 5))

    assert _names(fleet) == ["u1", "u2"]


# Guards against an upstream that is left out for good as its heartbeats change nothing.
def test_upstream_whose_entry_does_not_expire_is_used_again(fleet):
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 10.0)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))
    fleet.replace_upstreams([_entry("u1", 5), _entry("u2", 5)], 25.0)
    fleet.remove_expired(RESTORED_AT + HELD_SECONDS - 0.1)
    assert _names(fleet) == ["u2"]

    fleet.remove_expired(RESTORED_AT + HELD_SECONDS)
    assert _names(fleet) == ["u1", "u2"]


def test_held_upstream_that_a_later_listing_lacks_is_forgotten(fleet):
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 10.0)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))
    fleet.replace_upstreams([_entry("u2", 5)], 25.0)
    fleet.remove_expired(RESTORED_AT + HELD_SECONDS)

    assert _names(fleet) == ["u2"]


def test_upstream_that_lapsed_in_an_outage_is_used_again(fleet):
    fleet.replace_upstreams([_entry("u2", 5)], 10.0, recovered_at=10.0)
    fleet.remove_expired(10.0 + EXPIRY_GRACE_SECONDS)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))

    assert _names(fleet) == ["u1", "u2"]


# Guards against the state of a former process under the same id.
def test_entry_of_a_former_process_is_ignored(fleet):
    fleet.update_upstreams([_entry("u1", 1, born=2000)], 10.0)
    state = fleet.state_by_id["u1"]
    _restore(fleet, _entry("u1", 9, "draining", born=1000), _entry("u2", 5))

    assert fleet.state_by_id["u1"] is state
    assert _names(fleet) == ["u1", "u2"]


# Guards against upstreams dropped as a watch that doesn't fail shows no outage.
def test_upstream_that_the_copy_lacks_has_a_grace_period(fleet):
    _restore(fleet, _entry("u2", 5))
    fleet.remove_expired(RESTORED_AT + EXPIRY_GRACE_SECONDS - 0.1)
    assert _names(fleet) == ["u1", "u2"]

    fleet.remove_expired(RESTORED_AT + EXPIRY_GRACE_SECONDS)
    assert _names(fleet) == ["u2"]


def test_draining_in_a_restored_listing_is_applied(fleet):
    _restore(fleet, _entry("u1", 5, "draining"), _entry("u2", 5))

    assert _names(fleet) == ["u2"]


def test_an_entry_added_and_removed_at_once_is_gone(fleet):
    fleet.update_upstreams([_entry("u3", 1), _entry("u3", 1, gone=True)], 10.0)

    assert _names(fleet) == ["u1", "u2"]


def test_the_last_upstreams_to_leave_are_remembered(fleet, monkeypatch):
    monkeypatch.setattr(upstream_memory, "MAX_UPSTREAMS", 1)
    gone = [_entry(name, 5, gone=True) for name in ("u1", "u2")]
    fleet.update_upstreams(gone, 10.0)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))

    assert _names(fleet) == ["u1"]


# Guards against requests to an upstream that drained and left with the first copy.
def test_draining_upstream_that_lapsed_is_held_in_a_second_restoration(fleet):
    fleet.update_upstreams([_entry("u1", 8, "draining")], 10.0)
    _restore(fleet, _entry("u2", 5))
    fleet.remove_expired(RESTORED_AT + EXPIRY_GRACE_SECONDS)
    assert "u1" not in fleet.state_by_id

    _restore_again(fleet, 23.0, _entry("u1", 5), _entry("u2", 5))
    assert _names(fleet) == ["u2"]


# Guards against requests to an upstream that left within the grace period.
def test_upstream_that_left_in_the_grace_period_is_held_afterwards(fleet):
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 21.0)
    fleet.remove_expired(RESTORED_AT + EXPIRY_GRACE_SECONDS)
    _restore_again(fleet, 23.0, _entry("u1", 5), _entry("u2", 5))

    assert _names(fleet) == ["u2"]


# Guards against an upstream that lapsed in an outage and is ready again by a copy.
def test_draining_upstream_that_lapsed_in_an_outage_is_held(fleet):
    fleet.update_upstreams([_entry("u1", 8, "draining")], 9.0)
    fleet.replace_upstreams([_entry("u2", 5)], 10.0, recovered_at=10.0)
    fleet.remove_expired(10.0 + EXPIRY_GRACE_SECONDS)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))

    assert _names(fleet) == ["u2"]


# Guards against a held upstream whose draining is forgotten once it is released.
def test_held_upstream_that_was_draining_does_not_become_ready(fleet):
    fleet.update_upstreams([_entry("u1", 8, "draining")], 10.0)
    fleet.update_upstreams([_entry("u1", 8, gone=True)], 11.0)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))
    fleet.remove_expired(RESTORED_AT + HELD_SECONDS)
    assert "u1" in fleet.state_by_id
    assert _names(fleet) == ["u2"]

    fleet.update_upstreams([_entry("u1", 9)], 31.0)
    assert _names(fleet) == ["u1", "u2"]


# Guards against a gone upstream that is used as the store couldn't show its removal.
def test_held_upstream_stays_unused_while_the_store_is_away(fleet):
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 10.0)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))
    fleet.is_store_readable = lambda: False
    fleet.remove_expired(RESTORED_AT + HELD_SECONDS)
    fleet.remove_expired(RESTORED_AT + 5 * HELD_SECONDS)
    assert _names(fleet) == ["u2"]

    fleet.is_store_readable = lambda: True
    fleet.replace_upstreams([_entry("u2", 5)], 71.0, recovered_at=71.0)
    fleet.remove_expired(71.0 + HELD_SECONDS)
    assert _names(fleet) == ["u2"]


# Guards against a gone upstream whose entry expires only after the store's return.
def test_held_upstream_is_held_again_when_the_store_returns(fleet):
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 10.0)
    _restore(fleet, _entry("u1", 5), _entry("u2", 5))
    back_at = RESTORED_AT + 2 * HELD_SECONDS
    listing = [_entry("u1", 5), _entry("u2", 5)]
    fleet.replace_upstreams(listing, back_at, recovered_at=back_at)
    fleet.remove_expired(back_at + HELD_SECONDS - 0.1)
    assert _names(fleet) == ["u2"]

    fleet.remove_expired(back_at + HELD_SECONDS)
    assert _names(fleet) == ["u1", "u2"]


# Guards against a restored store that is listed late and believed at once.
def test_first_listing_of_an_era_is_compared_however_late(fleet):
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 10.0)
    fleet.update_upstreams([_entry("u2", 8, "draining")], 10.0)
    fleet.eras.record(2, RESTORED_AT)
    late = RESTORED_AT + HELD_SECONDS + 1.0
    fleet.replace_upstreams([_entry("u1", 5), _entry("u2", 8)], late, late)

    assert _names(fleet) == []


# Guards against an upstream held for an entry that the same era shows again.
def test_upstream_that_its_era_lists_again_is_used(fleet):
    fleet.update_upstreams([_entry("u1", 5, gone=True)], 10.0)
    fleet.replace_upstreams([_entry("u1", 5), _entry("u2", 5)], 11.0)

    assert _names(fleet) == ["u1", "u2"]


# Guards against a removal that counts as one of an era that isn't listed yet.
def test_upstream_that_lapses_before_the_next_era_is_listed_is_held(fleet):
    _restore(fleet, _entry("u2", 5))
    fleet.eras.record(3, 21.9)
    fleet.remove_expired(RESTORED_AT + EXPIRY_GRACE_SECONDS)
    fleet.replace_upstreams([_entry("u1", 5), _entry("u2", 5)], 22.1)

    assert _names(fleet) == ["u2"]
