"""The gate of one upstream, in injected time."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wharf_coordination import Code, ConcurrencyLimiter, Priority, Ran

COLD_LIMIT = 2
MAX_LIMIT = 16
WARM_CALLS = 8
USUAL_SECONDS = 0.1


@pytest.fixture
def gate():
    return ConcurrencyLimiter(COLD_LIMIT, MAX_LIMIT, WARM_CALLS)


def fill(gate, now):
    """Admit urgent calls until the gate refuses one."""
    passes = []
    while (entered := gate.acquire("ask", Priority.URGENT, now)).is_ok():
        passes.append(entered.unwrap())
    return passes


def run_rounds(gate, rounds, seconds=USUAL_SECONDS, now=0.0):
    """Fill and empty the gate `rounds` times; return the time after it."""
    for _ in range(rounds):
        passes = fill(gate, now)
        now += seconds
        for each in passes:
            gate.release(each, True, now)
    return now


def test_full_gate_refuses_as_not_run(gate):
    fill(gate, 0.0)
    refusal = gate.acquire("ask", Priority.URGENT, 0.0).unwrap_err()
    assert (refusal.code, refusal.ran) == (Code.UPSTREAM_FULL, Ran.NO)
    assert gate.in_flight == COLD_LIMIT


def test_limit_stays_cold_until_enough_calls_succeeded(gate):
    run_rounds(gate, WARM_CALLS // COLD_LIMIT - 1)
    assert gate.limit == COLD_LIMIT
    run_rounds(gate, 20, now=1.0)
    assert gate.limit > 2 * COLD_LIMIT


def test_new_incarnation_falls_back_to_the_cold_limit(gate):
    gate.observe_incarnation("a-1", 0.0)
    now = run_rounds(gate, 30)
    gate.observe_incarnation("a-2", now)
    assert len(fill(gate, now)) == COLD_LIMIT


def test_jump_of_the_service_time_falls_back_unannounced(gate):
    now = run_rounds(gate, 30)
    assert not gate.is_cold
    run_rounds(gate, 3, seconds=4 * USUAL_SECONDS, now=now)
    assert gate.is_cold


def test_stalled_calls_hold_back_new_ones(gate):
    now = run_rounds(gate, 30)
    gate.acquire("ask", Priority.URGENT, now)
    gate.acquire("ask", Priority.URGENT, now)
    late = now + 2 * USUAL_SECONDS
    assert gate.acquire("ask", Priority.URGENT, late).is_err()


def test_slower_calls_shrink_the_limit(gate):
    now = run_rounds(gate, 30)
    before = gate.limit
    run_rounds(gate, 4, seconds=1.7 * USUAL_SECONDS, now=now)
    assert COLD_LIMIT <= gate.limit < before


def test_limit_not_lately_in_use_is_proven_again(gate):
    now = run_rounds(gate, 30)
    assert len(fill(gate, now + 60.0)) == COLD_LIMIT


def test_failing_upstream_is_probed_further_and_further_apart(gate):
    pauses, now = [], 0.0
    for _ in range(5):
        entered = gate.acquire("ask", Priority.URGENT, now)
        gate.release(entered.unwrap(), False, now)
        begin = now
        while not gate.open_slots(now):
            now += 0.01
        pauses.append(now - begin)
    assert pauses == sorted(pauses)
    assert pauses[-1] > 4 * pauses[1]
    gate.release(gate.acquire("ask", Priority.URGENT, now).unwrap(), True, now)
    assert gate.open_slots(now) == COLD_LIMIT


def test_patient_calls_leave_room_for_urgent_ones():
    gate = ConcurrencyLimiter(8, 8)
    while gate.acquire("draft", Priority.PATIENT, 0.0).is_ok():
        pass
    assert gate.acquire("hold", Priority.URGENT, 0.0).is_ok()


STEP = st.tuples(
    st.sampled_from(["enter", "leave", "fail", "restart", "configure", "wait"]),
    st.integers(1, 20),
    st.sampled_from(list(Priority)),
)


@settings(max_examples=200, derandomize=True)
@given(st.lists(STEP, max_size=80))
def test_gate_never_admits_above_its_limits(steps):
    gate, passes, now = ConcurrencyLimiter(COLD_LIMIT, MAX_LIMIT, WARM_CALLS), [], 0.0
    for action, number, priority in steps:
        match action:
            case "enter":
                was_cold, before = gate.is_cold, gate.in_flight
                entered = gate.acquire(f"kind-{number % 3}", priority, now)
                if entered.is_ok():
                    passes.append(entered.unwrap())
                    bound = gate.cold_limit if was_cold else gate.max_limit
                    assert before < bound
            case "leave" | "fail" if passes:
                taken = passes.pop(number % len(passes))
                gate.release(taken, action == "leave", now)
            case "restart":
                gate.observe_incarnation(str(number), now)
            case "configure":
                gate.configure(min(number, 4), max(number, 4), WARM_CALLS)
            case _:
                now += number / 50
        assert gate.in_flight == len(passes)
        assert gate.cold_limit <= gate.limit <= gate.max_limit
