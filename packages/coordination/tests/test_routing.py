"""Load balancing, subsets, retry budget and estimates of times and load."""

from collections import Counter
from random import Random

import pytest

from wharf_coordination import (
    Candidate,
    Chooser,
    DrainRate,
    OutlierDetector,
    RetryBudget,
    StageTimes,
    UpstreamView,
    subset,
)

ENTRIES = [f"entry-{number}" for number in range(340)]
POOL = [f"runner-{number}" for number in range(77)]
SUBSET_SIZE = 24


def make_candidate(name, in_flight=0, limit=4, data_centre="dc-1"):
    return Candidate(name, data_centre, "1", in_flight, limit, 0.1)


@pytest.fixture
def chooser():
    return Chooser(Random(1), "dc-1")


def test_less_loaded_candidate_is_chosen(chooser):
    candidates = [make_candidate("a", in_flight=3), make_candidate("b", in_flight=1)]
    assert chooser.choose(candidates, 0.0).upstream == "b"


def test_full_candidate_is_never_chosen(chooser):
    full = [make_candidate("a", in_flight=4), make_candidate("b", limit=0)]
    assert chooser.choose(full, 0.0) is None


def test_tie_is_broken_in_favour_of_the_own_data_centre(chooser):
    candidates = [make_candidate("far", data_centre="dc-2"), make_candidate("near")]
    assert chooser.choose(candidates, 0.0).upstream == "near"


def test_prefix_prefers_the_same_upstreams_until_they_are_loaded(chooser):
    names = [f"model-{number}" for number in range(8)]
    idle = [make_candidate(name) for name in names]
    chosen = {chooser.choose(idle, 0.0, "note 7").upstream for _ in range(50)}
    assert len(chosen) <= 2
    loaded = [
        make_candidate(name, in_flight=3 if name in chosen else 0) for name in names
    ]
    assert chooser.choose(loaded, 0.0, "note 7").upstream not in chosen


def test_outliers_are_excluded_up_to_a_maximum_share():
    detector = OutlierDetector()
    candidates = [make_candidate(name) for name in "abcdef"]
    for _ in range(20):
        for name in "abcd":
            detector.observe(name, None, True, 0.0)
    assert len(detector.without_outliers(candidates, 0.0)) == 4
    assert len(detector.without_outliers(candidates, 60.0)) == 6


def test_retries_are_limited_to_a_share_of_first_attempts():
    budget = RetryBudget(share=0.1, reserve=10.0, tokens=0.0)
    spent = 0
    for _ in range(1000):
        budget.count_first_try()
        spent += budget.spend()
    assert 90 <= spent <= 100


def test_estimate_decays_without_observations():
    times = StageTimes()
    times.observe("ask", "rerank", 0.1, 0.0)
    for _ in range(50):
        times.observe("ask", "rerank", 5.0, 1.0)
    assert times.expected("ask", "rerank", 1.0) > 4.0
    assert times.expected("ask", "rerank", 60.0) < 3.0


def test_wait_follows_the_rate_of_starts():
    rate = DrainRate()
    for number in range(100):
        rate.observe_start(number * 0.5, still_waiting=True)
    assert rate.wait(4) == pytest.approx(2.0, rel=0.01)


def test_load_implied_by_a_refusal_is_used_until_the_next_report():
    view = UpstreamView()
    view.observe_report(in_flight=2, limit=4, now=0.0)
    view.own_calls = 1
    view.observe_full(in_flight=5)
    view.own_calls = 0
    assert view.in_flight == 4
    view.observe_report(in_flight=1, limit=4, now=0.25)
    assert view.in_flight == 1
    assert not view.is_silent(4.0)
    assert view.is_silent(6.0)


def test_subsets_of_the_target_size_are_balanced():
    degree = Counter(
        name for entry in ENTRIES for name in subset(entry, POOL, SUBSET_SIZE)
    )
    mean = len(ENTRIES) * SUBSET_SIZE / len(POOL)
    assert len(degree) == len(POOL)
    assert max(degree.values()) < 1.35 * mean
    assert min(degree.values()) > 0.65 * mean


def test_subset_changes_by_one_when_an_upstream_is_removed():
    for entry in ENTRIES:
        before = subset(entry, POOL, SUBSET_SIZE)
        after = subset(entry, POOL[1:], SUBSET_SIZE)
        assert len(after - before) == (POOL[0] in before)
