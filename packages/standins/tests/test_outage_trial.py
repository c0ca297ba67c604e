"""After an outage many clients come back within the store's rate."""

import pytest

from wharf_standins.outage_trial import (
    LAST_SECOND,
    OUTAGE_BEGIN,
    OUTAGE_END,
    STORE_CALLS_PER_SECOND,
    OutageTrial,
)

ENTRIES = 340
WANTED_PER_SECOND = 1000.0


@pytest.fixture(scope="module")
def trial():
    return OutageTrial(ENTRIES, WANTED_PER_SECOND).run()


def test_no_stampede_after_an_outage(trial):
    assert trial.peak(OUTAGE_END, LAST_SECOND) <= STORE_CALLS_PER_SECOND
    assert trial.refused(OUTAGE_END, LAST_SECOND) == 0


def test_clients_are_back_within_a_few_seconds(trial):
    assert trial.calls_by_second[OUTAGE_END + 8] > WANTED_PER_SECOND / 2


def test_outage_is_met_by_few_probes(trial):
    assert trial.peak(OUTAGE_BEGIN + 10, OUTAGE_END) <= ENTRIES
