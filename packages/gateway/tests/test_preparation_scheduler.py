"""Which preparations start, wait, or are refused."""

import pytest

from wharf_gateway.stages.demand import Demand
from wharf_gateway.stages.preparation import Preparation
from wharf_gateway.stages.preparation_scheduler import StartGate, Ticket

RATES = {"encode": 10.0}


@pytest.fixture
def make_ticket():
    def make(name, soft_deadline=2.0, hard_deadline=6.0, pieces=4):
        preparation = Preparation(name, (), (), "", 0, soft_deadline, hard_deadline)
        demand = Demand({"encode": pieces}, {"encode": 0.5}, 0.5)
        return Ticket(preparation, demand)

    return make


def _names(tickets):
    return [ticket.preparation.call_id for ticket in tickets]


def test_as_many_start_as_the_service_finishes_in_a_requests_time(make_ticket):
    gate = StartGate()
    for number in range(5):
        gate.add(make_ticket(str(number), soft_deadline=2.0 + number))

    assert _names(gate.start(RATES, 0.0)) == ["0", "1"]
    assert _names(gate.waiting) == ["2", "3", "4"]


def test_one_always_starts_however_large(make_ticket):
    gate = StartGate()
    gate.add(make_ticket("large", pieces=1000))

    assert _names(gate.start(RATES, 0.0)) == ["large"]


def test_finished_steps_let_others_start(make_ticket):
    gate = StartGate()
    first, second = make_ticket("first", pieces=8), make_ticket("second")
    gate.add(first)
    gate.add(second)
    assert _names(gate.start(RATES, 0.0)) == ["first"]

    gate.note_done(first, "encode", 8)

    assert _names(gate.start(RATES, 0.1)) == ["second"]


def test_what_cannot_end_in_time_is_refused_at_once_with_the_wait(make_ticket):
    gate = StartGate()
    gate.add(make_ticket("running", pieces=100))
    gate.start(RATES, 0.0)
    gate.add(make_ticket("hopeless", hard_deadline=6.0))

    ((ticket, delay),) = gate.hopeless(RATES, 0.0)

    assert ticket.preparation.call_id == "hopeless"
    assert delay == pytest.approx(104 / 10 - 0.5)
    assert not gate.waiting


def test_a_request_that_is_late_already_does_not_delay_others(make_ticket):
    gate = StartGate()
    gate.add(make_ticket("late", soft_deadline=0.1))
    gate.add(make_ticket("timely", soft_deadline=2.0))

    assert _names(gate.start(RATES, 0.0)) == ["timely", "late"]


def test_without_upstreams_all_are_refused(make_ticket):
    gate = StartGate()
    gate.add(make_ticket("any"))

    assert _names(ticket for ticket, _ in gate.hopeless({"encode": 0.0}, 0.0)) == [
        "any"
    ]


def test_a_kind_with_a_tight_aim_is_not_late_from_its_arrival_on(make_ticket):
    """As short texts of the market's incident: late in 193 of 275 requests."""
    gate = StartGate(stretch=1.7)
    gate.add(make_ticket("patient", soft_deadline=3.0))
    gate.add(make_ticket("tight", soft_deadline=0.7))

    assert _names(gate.start(RATES, 0.1)) == ["tight", "patient"]


def test_a_kind_with_a_tight_aim_is_late_after_a_moment(make_ticket):
    gate = StartGate(stretch=1.7)
    gate.add(make_ticket("patient", soft_deadline=3.0))
    gate.add(make_ticket("tight", soft_deadline=0.9))

    assert _names(gate.start(RATES, 0.35)) == ["patient", "tight"]
