"""Crashes are attributed to the feature behind them, and to no other."""

from itertools import count

import pytest

from wharf_coordination.quarantine import Attribution, CrashAttribution, CrashSuspect


@pytest.fixture
def attribution():
    return CrashAttribution()


@pytest.fixture
def crash(attribution):
    """Record the crash of a new upstream; return the features found by it."""
    numbers = count()

    def record(at, *suspects):
        found = attribution.record_crash(f"u{next(numbers)}", at, suspects, at)
        return [item.feature for item in found]

    return record


def _request(name, *features, began=True, served=False):
    return CrashSuspect(name, features, began, served)


def test_feature_that_two_requests_share_is_found_at_the_second_crash(crash):
    assert crash(1.0, _request("r1", "system", "deadly")) == []
    assert crash(2.0, _request("r2", "system", "deadly")) == ["deadly"]


def test_repeats_of_one_request_condemn_only_the_request(crash):
    assert crash(1.0, _request("r1", "system", "rare")) == []
    assert crash(2.0, _request("r1", "system", "rare")) == ["r1"]


def test_feature_is_found_beside_its_condemned_request(crash):
    crash(1.0, _request("r1", "deadly"))
    crash(2.0, _request("r1", "deadly"))

    assert crash(3.0, _request("r2", "deadly")) == ["deadly"]


def test_feature_with_answers_between_the_crashes_is_not_found(crash, attribution):
    crash(1.0, _request("r1", "common"))
    attribution.record_answered(["common"], 1.5)

    assert crash(2.0, _request("r2", "common")) == []


def test_most_specific_of_equal_features_is_found(crash):
    """A subject of which no sound request had come yet would be refused with it."""
    crash(1.0, _request("r1", "system", "subject", "deadly"))

    assert crash(2.0, _request("r2", "system", "subject", "deadly")) == ["deadly"]


def test_first_part_that_is_deadly_is_found_among_different_subjects(crash):
    crash(1.0, _request("r1", "deadly", "subject-1"))

    assert crash(2.0, _request("r2", "deadly", "subject-2")) == ["deadly"]


def test_requests_that_waited_are_no_suspects_beside_one_that_began(crash):
    """Requests behind the deadly one were lost with it, repeatedly."""
    waiting = _request("w1", "subject", began=False)
    crash(1.0, _request("r1", "deadly"), waiting)
    crash(2.0, _request("r2", "deadly"), waiting)

    assert crash(3.0, _request("r3", "deadly"), waiting) == ["deadly"]


def test_requests_that_waited_are_suspects_if_none_began(crash):
    crash(1.0, _request("r1", "deadly", began=False))

    assert crash(2.0, _request("r2", "deadly", began=False)) == ["deadly"]


def test_innocent_request_in_two_crashes_is_cleared_by_the_explanation(crash):
    crash(1.0, _request("r1", "deadly"), _request("v", "subject"))
    crash(2.0, _request("r2", "deadly"), _request("v", "subject"))

    assert crash(3.0, _request("r3", "deadly")) == ["deadly"]


def test_simultaneous_crashes_count_once(crash):
    """A rack without power ends several upstreams, all with the shared parts."""
    found = [crash(1.0, _request(f"r{n}", "common")) for n in range(6)]

    assert found == [[]] * 6


def test_familiar_feature_takes_more_crashes(crash, attribution):
    attribution.record_answered(["common"], 0.5)
    found = [crash(float(n), _request(f"r{n}", "common")) for n in range(1, 5)]

    assert found == [[], [], [], ["common"]]


def test_part_that_crashes_amid_answers_is_found_beside_those_in_progress(crash):
    """All requests that are being answered are lost with the one that is the cause."""
    found = []
    for number in range(1, 5):
        deadly = _request(f"d{number}", "system", "deadly", served=True)
        sound = [
            _request(f"s{number}-{n}", "system", "sound", served=True) for n in range(3)
        ]
        found.append(crash(float(number), deadly, *sound))

    assert found == [[], [], [], ["deadly"]]


def test_part_without_any_answer_is_found_before_one_with_earlier_answers(
    crash, attribution
):
    """All upstreams were down, so that nothing was answered between the crashes."""
    attribution.record_answered(["system", "sound"], 0.5)
    found = []
    for number in range(1, 6):
        sound = _request(f"s{number}", "system", "sound", served=True)
        deadly = _request(f"d{number}", "system", "deadly", served=True)
        # One of the crashes has another cause.
        suspects = [sound] if number == 3 else [deadly, sound]
        found.append(crash(float(number), *suspects))

    assert found == [[], [], [], ["sound"], ["deadly"]]


def test_reports_of_one_crash_are_joined(attribution):
    first, second = _request("r1", "deadly"), _request("r2", "deadly")
    attribution.record_crash("u1", 1.0, [first], 1.0)

    assert attribution.record_crash("u1", 1.05, [second], 1.1) == []


def test_process_of_an_upstream_that_crashes_again_is_another_crash(attribution):
    attribution.record_crash("u1", 1.0, [_request("r1", "deadly")], 1.0)
    found = attribution.record_crash("u1", 8.0, [_request("r2", "deadly")], 8.0)

    assert found == [Attribution("deadly", 2, 1.0)]


def test_old_crashes_are_forgotten(crash):
    crash(0.0, _request("r1", "deadly"))

    assert crash(601.0, _request("r2", "deadly")) == []


@pytest.mark.parametrize(
    ("answered_at", "crashes", "is_disproved"),
    [(5.5, 2, True), (4.0, 2, True), (4.0, 4, False), (5.5, 4, True)],
)
def test_answers_contradict_the_conclusion_of_another(
    attribution, answered_at, crashes, is_disproved
):
    attribution.record_answered(["part"], answered_at)

    claim = Attribution("part", crashes, 5.0)
    assert attribution.is_disproved(claim) is is_disproved


def test_memory_is_bounded():
    attribution = CrashAttribution(max_crashes=3, max_features=4)
    for number in range(20):
        attribution.record_answered([f"part-{number}"], float(number))
        suspects = [_request(f"r{number}", f"f{number}")]
        attribution.record_crash(f"u{number}", float(number), suspects, float(number))

    assert len(attribution._crashes) == 3
    assert len(attribution._answered_at_by_feature) == 4
