"""Concurrency limiter of one upstream, with injected time."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wharf_coordination import Code, ConcurrencyLimiter, Priority, Ran

COLD_LIMIT = 2
MAX_LIMIT = 16
WARM_CALLS = 8
USUAL_SECONDS = 0.1


@pytest.fixture
def limiter():
    return ConcurrencyLimiter(COLD_LIMIT, MAX_LIMIT, WARM_CALLS)


def fill(limiter, now):
    """Acquire permits for urgent calls until one is refused."""
    permits = []
    while (acquired := limiter.acquire("ask", Priority.URGENT, now)).is_ok():
        permits.append(acquired.unwrap())
    return permits


def run_rounds(limiter, rounds, seconds=USUAL_SECONDS, now=0.0):
    """Fill and empty the limiter `rounds` times; return the time after that."""
    for _ in range(rounds):
        permits = fill(limiter, now)
        now += seconds
        for permit in permits:
            limiter.release(permit, True, now)
    return now


def test_full_limiter_refuses_as_not_run(limiter):
    fill(limiter, 0.0)
    refusal = limiter.acquire("ask", Priority.URGENT, 0.0).unwrap_err()
    assert (refusal.code, refusal.ran) == (Code.UPSTREAM_FULL, Ran.NO)
    assert limiter.in_flight == COLD_LIMIT


def test_limit_stays_cold_until_enough_calls_succeeded(limiter):
    run_rounds(limiter, WARM_CALLS // COLD_LIMIT - 1)
    assert limiter.limit == COLD_LIMIT
    run_rounds(limiter, 20, now=1.0)
    assert limiter.limit > 2 * COLD_LIMIT


def test_new_incarnation_resets_to_the_cold_limit(limiter):
    limiter.observe_incarnation("a-1", 0.0)
    now = run_rounds(limiter, 30)
    limiter.observe_incarnation("a-2", now)
    assert len(fill(limiter, now)) == COLD_LIMIT


def test_jump_of_the_service_time_marks_the_upstream_cold(limiter):
    now = run_rounds(limiter, 30)
    assert not limiter.is_cold
    run_rounds(limiter, 3, seconds=4 * USUAL_SECONDS, now=now)
    assert limiter.is_cold


def test_stalled_calls_prevent_new_ones(limiter):
    now = run_rounds(limiter, 30)
    limiter.acquire("ask", Priority.URGENT, now)
    limiter.acquire("ask", Priority.URGENT, now)
    late = now + 2 * USUAL_SECONDS
    assert limiter.acquire("ask", Priority.URGENT, late).is_err()


def test_slower_calls_shrink_the_limit(limiter):
    now = run_rounds(limiter, 30)
    before = limiter.limit
    run_rounds(limiter, 4, seconds=1.7 * USUAL_SECONDS, now=now)
    assert COLD_LIMIT <= limiter.limit < before


def test_limit_that_was_not_used_recently_is_raised_again_from_cold(limiter):
    now = run_rounds(limiter, 30)
    assert len(fill(limiter, now + 60.0)) == COLD_LIMIT


def test_failing_upstream_is_probed_at_increasing_intervals(limiter):
    delays, now = [], 0.0
    for _ in range(5):
        acquired = limiter.acquire("ask", Priority.URGENT, now)
        limiter.release(acquired.unwrap(), False, now)
        begin = now
        while not limiter.open_slots(now):
            now += 0.01
        delays.append(now - begin)
    assert delays == sorted(delays)
    assert delays[-1] > 4 * delays[1]
    limiter.release(limiter.acquire("ask", Priority.URGENT, now).unwrap(), True, now)
    assert limiter.open_slots(now) == COLD_LIMIT


def test_patient_calls_leave_capacity_for_urgent_ones():
    limiter = ConcurrencyLimiter(8, 8)
    while limiter.acquire("draft", Priority.PATIENT, 0.0).is_ok():
        pass
    assert limiter.acquire("hold", Priority.URGENT, 0.0).is_ok()


STEP = st.tuples(
    st.sampled_from(["acquire", "release", "fail", "restart", "configure", "wait"]),
    st.integers(1, 20),
    st.sampled_from(list(Priority)),
)


@settings(max_examples=200, derandomize=True)
@given(st.lists(STEP, max_size=80))
def test_limiter_never_admits_above_its_limits(steps):
    limiter, held, now = ConcurrencyLimiter(COLD_LIMIT, MAX_LIMIT, WARM_CALLS), [], 0.0
    for action, number, priority in steps:
        match action:
            case "acquire":
                was_cold, before = limiter.is_cold, limiter.in_flight
                acquired = limiter.acquire(f"kind-{number % 3}", priority, now)
                if acquired.is_ok():
                    held.append(acquired.unwrap())
                    bound = limiter.cold_limit if was_cold else limiter.max_limit
                    assert before < bound
            case "release" | "fail" if held:
                permit = held.pop(number % len(held))
                limiter.release(permit, action == "release", now)
            case "restart":
                limiter.observe_incarnation(str(number), now)
            case "configure":
                limiter.configure(min(number, 4), max(number, 4), WARM_CALLS)
            case _:
                now += number / 50
        assert limiter.in_flight == len(held)
        assert limiter.cold_limit <= limiter.limit <= limiter.max_limit
