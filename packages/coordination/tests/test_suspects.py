"""Verdicts on requests that were in flight when upstreams died."""

from random import Random

import pytest

from wharf_coordination import (
    CrashTracker,
    DeathKind,
    Fact,
    FactKind,
    FactSet,
    Suspects,
    Suspicion,
    Verdict,
)

LIFETIME = 600.0


@pytest.fixture
def suspects():
    return Suspects()


def observe(suspects, *facts):
    for fact in facts:
        suspects.observe(fact, 0.0, LIFETIME)


def test_same_death_seen_twice_counts_once(suspects):
    observe(suspects, *[Suspicion("f", "death-1").to_fact()] * 2)
    assert suspects.verdict("f", 1.0) is Verdict.SUSPECT


def test_answer_between_two_deaths_clears(suspects):
    first, second = Suspicion("f", "death-1"), Suspicion("f", "death-2")
    observe(suspects, first.to_fact(), first.to_clearance(), second.to_fact())
    assert suspects.verdict("f", 1.0) is Verdict.SUSPECT


def test_order_of_facts_does_not_matter(suspects):
    raised = [Suspicion("f", f"death-{number}") for number in range(3)]
    facts = [suspicion.to_fact() for suspicion in raised]
    facts += [suspicion.to_clearance() for suspicion in raised[:2]]
    rng = Random(1)
    for _ in range(20):
        shuffled = Suspects()
        observe(shuffled, *rng.sample(facts, len(facts)))
        assert shuffled.suspicions("f", 1.0) == raised[2:]


def test_two_lost_links_do_not_condemn_but_three_do(suspects):
    losses = [Suspicion("f", f"loss-{n}", DeathKind.LOSS).to_fact() for n in range(3)]
    observe(suspects, *losses[:2])
    assert suspects.verdict("f", 1.0) is Verdict.SUSPECT
    observe(suspects, losses[2])
    assert suspects.verdict("f", 1.0) is Verdict.CONDEMNED


def test_suspicion_expires(suspects):
    observe(suspects, Suspicion("f", "death-1").to_fact())
    assert suspects.verdict("f", LIFETIME + 1) is Verdict.CLEAR
    suspects.expire(LIFETIME + 1)
    assert len(suspects) == 0


def test_number_of_suspects_is_bounded():
    suspects = Suspects(max_suspects=5)
    observe(suspects, *(Suspicion(str(n), "d").to_fact() for n in range(20)))
    assert len(suspects) == 5
    assert suspects.verdict("19", 1.0) is Verdict.SUSPECT


def test_calls_of_one_death_share_it():
    tracker = CrashTracker("sidecar-1/run-1")
    epoch = tracker.epoch
    deaths = {tracker.record_crash(epoch, f, "engine-1").death for f in ("a", "b", "c")}
    assert len(deaths) == 1
    assert tracker.record_crash(tracker.epoch, "a", "engine-2").death not in deaths


def test_new_incarnation_confirms_the_death():
    tracker = CrashTracker("sidecar-1/run-1")
    tracker.record_crash(tracker.epoch, "f", "engine-1")
    assert tracker.record_answer(tracker.epoch, "engine-2") == []
    assert tracker.record_answer(tracker.epoch, "engine-1") == []


def test_late_answer_from_the_crashed_incarnation_clears_nothing():
    tracker = CrashTracker("sidecar-1/run-1")
    early = tracker.epoch
    tracker.record_crash(early, "f", "engine-1")
    assert tracker.record_answer(early, "engine-1") == []


def test_many_suspicions_do_not_evict_a_veto():
    facts = FactSet(max_facts=10)
    facts.add([Fact(FactKind.VETO, "model@2")], now=0.0)
    facts.add([Suspicion(str(n), "d").to_fact() for n in range(50)], now=0.0)
    assert facts.holds(FactKind.VETO, "model@2", 1.0)
    assert len(facts.remaining(1.0)) == 11
