"""Quarantines begin, end at different times on different hosts, and grow longer."""

from dataclasses import replace

import pytest

from wharf_coordination.quarantine import Attribution, Quarantine

DEADLY = Attribution("deadly", 3, 1.0)
FEATURES = ("system", "deadly", "fingerprint")


@pytest.fixture
def quarantine():
    return Quarantine("host-1")


def _end(quarantine, now=0.0):
    """Return when requests with the feature may run again on this host."""
    return now + quarantine.seconds_left("deadly", now)


def test_requests_with_the_feature_are_blocked_until_the_end(quarantine):
    quarantine.begin(DEADLY, now=0.0)
    end = _end(quarantine)

    assert 30.0 <= end <= 60.0
    assert quarantine.blocking_feature(FEATURES, end - 0.1) == "deadly"
    assert quarantine.blocking_feature(FEATURES, end + 0.1) is None
    assert quarantine.blocking_feature(("system",), 1.0) is None


def test_hosts_end_a_quarantine_at_different_times():
    """Otherwise all would try such a request at the same moment."""
    ends = []
    for number in range(50):
        quarantine = Quarantine(f"host-{number}")
        quarantine.begin(DEADLY, now=0.0)
        ends.append(_end(quarantine))

    assert len({round(end) for end in ends}) > 20


def test_one_request_at_a_time_runs_on_probation(quarantine):
    quarantine.begin(DEADLY, now=0.0)
    now = _end(quarantine) + 1.0
    quarantine.begin_probation_run(FEATURES, "r1")

    assert quarantine.blocking_feature(FEATURES, now, "r2") == "deadly"
    assert quarantine.blocking_feature(FEATURES, now, "r1") is None

    quarantine.end_probation_run(FEATURES, "r1")
    assert quarantine.blocking_feature(FEATURES, now, "r2") is None


def test_one_crash_on_probation_doubles_the_quarantine(quarantine):
    first = quarantine.begin(DEADLY, now=0.0)
    [second] = quarantine.record_crash(FEATURES, at=70.0, now=70.1)

    assert (first.seconds, second.seconds) == (30.0, 60.0)
    assert quarantine.blocking_feature(FEATURES, 71.0) == "deadly"


def test_crash_before_the_end_changes_nothing(quarantine):
    quarantine.begin(DEADLY, now=0.0)

    assert quarantine.record_crash(FEATURES, at=5.0, now=5.1) == []
    assert quarantine.begin(DEADLY, now=5.0) is None


def test_length_is_bounded(quarantine):
    now, lengths = 0.0, []
    for _ in range(8):
        lengths.append(quarantine.begin(DEADLY, now).seconds)
        now += 2 * lengths[-1] + 1.0

    assert lengths == [30.0, 60.0, 120.0, 240.0, 480.0, 600.0, 600.0, 600.0]


def test_copies_of_an_entry_change_nothing(quarantine):
    entry = quarantine.begin(DEADLY, now=0.0)

    assert not quarantine.adopt(replace(entry, ends_at=entry.ends_at + 0.2))
    assert quarantine.adopt(replace(entry, ends_at=entry.ends_at + 60.0))


def test_lifted_feature_is_free(quarantine):
    quarantine.begin(DEADLY, now=0.0)
    quarantine.lift("deadly")

    assert quarantine.blocking_feature(FEATURES, 1.0) is None


def test_late_copy_of_a_lifted_entry_does_not_bring_it_back(quarantine):
    entry = quarantine.begin(DEADLY, now=0.0)
    quarantine.lift("deadly")

    assert not quarantine.adopt(entry)
    assert quarantine.adopt(replace(entry, ends_at=entry.ends_at + 60.0))


def test_feature_that_crashes_nothing_more_is_forgotten(quarantine):
    quarantine.begin(DEADLY, now=0.0)

    assert len(quarantine.entries(100.0)) == 1
    assert quarantine.entries(660.0) == []


def test_number_of_entries_is_bounded():
    quarantine = Quarantine("host-1", max_entries=3)
    for number in range(10):
        quarantine.begin(Attribution(f"f{number}", 2, 0.0), now=float(number))

    assert len(quarantine) == 3
