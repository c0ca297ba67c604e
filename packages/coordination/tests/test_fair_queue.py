"""Order in which queued calls start."""

from collections import Counter
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wharf_coordination import FairQueue, Priority, QueuedCall

numbers = count()


def make_call(customer="big", priority=Priority.STANDARD, latest_start=10.0, **fields):
    return QueuedCall(
        f"call-{next(numbers)}", customer, priority, latest_start, **fields
    )


def start_next(queue):
    call = next(queue.heads())
    queue.start(call)
    return call


@pytest.fixture
def queue():
    return FairQueue(max_calls=50)


def test_more_urgent_call_goes_first(queue):
    for priority in (Priority.PATIENT, Priority.URGENT, Priority.STANDARD):
        queue.push(make_call(priority=priority))
    order = [start_next(queue).priority for _ in range(3)]
    assert order == [Priority.URGENT, Priority.STANDARD, Priority.PATIENT]


def test_earliest_deadline_of_a_customer_goes_first(queue):
    for latest_start in (3.0, 1.0, 2.0):
        queue.push(make_call(latest_start=latest_start))
    assert [start_next(queue).latest_start for _ in range(3)] == [1.0, 2.0, 3.0]


def test_busy_customer_does_not_starve_another(queue):
    for _ in range(40):
        queue.push(make_call("big"))
    for _ in range(5):
        queue.push(make_call("small"))
    first = Counter(start_next(queue).customer for _ in range(10))
    assert first == {"big": 5, "small": 5}


def test_weight_gives_a_larger_share(queue):
    for _ in range(20):
        queue.push(make_call("heavy", weight=3.0))
        queue.push(make_call("light", weight=1.0))
    first = Counter(start_next(queue).customer for _ in range(12))
    assert first["heavy"] == 9


def test_idle_customer_accumulates_no_credit(queue):
    for _ in range(20):
        queue.push(make_call("busy"))
    for _ in range(10):
        start_next(queue)
    for _ in range(10):
        queue.push(make_call("late"))
    first = Counter(start_next(queue).customer for _ in range(6))
    assert first["busy"] >= 2


def test_full_queue_evicts_the_least_urgent_call():
    queue = FairQueue(max_calls=2)
    patient = make_call(priority=Priority.PATIENT)
    queue.push(patient)
    queue.push(make_call())
    assert queue.push(make_call(priority=Priority.URGENT)) is patient
    newcomer = make_call(priority=Priority.PATIENT)
    assert queue.push(newcomer) is newcomer
    assert len(queue) == 2


def test_expired_calls_are_returned(queue):
    late, early = make_call(latest_start=1.0), make_call(latest_start=5.0)
    queue.push(late)
    queue.push(early)
    assert queue.expire(2.0) == [late]
    assert len(queue) == 1


def test_cleared_queue_returns_all_calls(queue):
    calls = [make_call("a"), make_call("b", priority=Priority.PATIENT)]
    for call in calls:
        queue.push(call)
    assert queue.clear() == calls
    assert len(queue) == 0


CALL = st.tuples(st.sampled_from("abcd"), st.sampled_from(list(Priority)))


@settings(max_examples=200, derandomize=True)
@given(st.lists(st.one_of(CALL, st.none()), max_size=120))
def test_each_call_leaves_exactly_once(steps):
    queue, pushed, left = FairQueue(max_calls=10), [], []
    for step in steps:
        if step is None:
            left += [start_next(queue)] if len(queue) else []
            continue
        call = make_call(*step)
        pushed.append(call)
        victim = queue.push(call)
        left += [victim] if victim else []
        assert len(queue) <= 10
    left += [start_next(queue) for _ in range(len(queue))]
    assert Counter(each.id for each in left) == Counter(each.id for each in pushed)
