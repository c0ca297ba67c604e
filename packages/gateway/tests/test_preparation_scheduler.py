"""Which preparations start, wait or are refused."""

import pytest

from wharf_gateway.stages.demand import Demand
from wharf_gateway.stages.preparation import Preparation
from wharf_gateway.stages.preparation_scheduler import (
    PreparationScheduler,
    ScheduleEntry,
)

RATES = {"encode": 10.0}


@pytest.fixture
def make_entry():
    def make(name, soft_deadline=2.0, hard_deadline=6.0, pieces=4):
        preparation = Preparation(name, (), (), "", 0, soft_deadline, hard_deadline)
        demand = Demand({"encode": pieces}, {"encode": 0.5}, 0.5)
        return ScheduleEntry(preparation, demand)

    return make


def _names(entries):
    return [entry.preparation.call_id for entry in entries]


def test_starts_as_many_as_the_service_finishes_in_time(make_entry):
    scheduler = PreparationScheduler()
    for number in range(5):
        scheduler.add(make_entry(str(number), soft_deadline=2.0 + number))

    assert _names(scheduler.start(RATES, 0.0)) == ["0", "1"]
    assert _names(scheduler.waiting) == ["2", "3", "4"]


def test_first_preparation_starts_regardless_of_size(make_entry):
    scheduler = PreparationScheduler()
    scheduler.add(make_entry("large", pieces=1000))

    assert _names(scheduler.start(RATES, 0.0)) == ["large"]


def test_finished_steps_let_others_start(make_entry):
    scheduler = PreparationScheduler()
    first, second = make_entry("first", pieces=8), make_entry("second")
    scheduler.add(first)
    scheduler.add(second)
    assert _names(scheduler.start(RATES, 0.0)) == ["first"]

    scheduler.record_done(first, "encode", 8)

    assert _names(scheduler.start(RATES, 0.1)) == ["second"]


def test_infeasible_preparation_is_refused_at_once_with_its_delay(make_entry):
    scheduler = PreparationScheduler()
    scheduler.add(make_entry("running", pieces=100))
    scheduler.start(RATES, 0.0)
    scheduler.add(make_entry("infeasible", hard_deadline=6.0))

    ((entry, delay),) = scheduler.remove_infeasible(RATES, 0.0)

    assert entry.preparation.call_id == "infeasible"
    assert delay == pytest.approx(104 / 10 - 0.5)
    assert not scheduler.waiting


def test_late_preparation_does_not_delay_others(make_entry):
    scheduler = PreparationScheduler()
    scheduler.add(make_entry("late", soft_deadline=0.1))
    scheduler.add(make_entry("timely", soft_deadline=2.0))

    assert _names(scheduler.start(RATES, 0.0)) == ["timely", "late"]


def test_all_are_refused_without_upstreams(make_entry):
    scheduler = PreparationScheduler()
    scheduler.add(make_entry("any"))

    assert _names(
        entry for entry, _ in scheduler.remove_infeasible({"encode": 0.0}, 0.0)
    ) == ["any"]


def test_short_soft_deadline_is_not_late_on_arrival(make_entry):
    """In the market incident, 193 of 275 requests for short texts were late, since they
    ranked as late from their arrival on."""
    scheduler = PreparationScheduler(stretch=1.7)
    scheduler.add(make_entry("patient", soft_deadline=3.0))
    scheduler.add(make_entry("tight", soft_deadline=0.7))

    assert _names(scheduler.start(RATES, 0.1)) == ["tight", "patient"]


def test_short_soft_deadline_is_late_after_the_grace_period(make_entry):
    scheduler = PreparationScheduler(stretch=1.7)
    scheduler.add(make_entry("patient", soft_deadline=3.0))
    scheduler.add(make_entry("tight", soft_deadline=0.9))

    assert _names(scheduler.start(RATES, 0.35)) == ["patient", "tight"]
