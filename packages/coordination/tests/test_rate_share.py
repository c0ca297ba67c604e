"""Shares of a limit add up to no more than the limit, for fleets of any size."""

from random import Random

import pytest

from wharf_coordination.rate_share import RateShare, rate_holders

WINDOW_SECONDS = 4.0


def _most_in_window(times):
    times = sorted(times)
    return max(
        (sum(t <= u < t + WINDOW_SECONDS for u in times) for t in times), default=0
    )


@pytest.mark.parametrize("size", [1, 3, 29, 68, 340])
@pytest.mark.parametrize("rate", [0.2, 1.0, 1.9, 12.0])
@pytest.mark.parametrize("demand", [0.5, 3.0])
def test_all_holders_together_stay_within_the_operators_bound(size, rate, demand):
    """Idle holders keep a token each, which all may use in the same moment."""
    rng = Random(f"{size}/{rate}/{demand}")
    names = [f"host-{number}" for number in range(size)]
    holders = sorted(rate_holders("upstream", names, rate))
    share_by_name = {name: RateShare(0.0, 0.0) for name in holders}
    for share in share_by_name.values():
        share.set_part(rate, len(holders), 0.0)
    sent, now = [], 20.0
    while now < 60.0:
        now += rng.expovariate(demand * rate * len(holders))
        share = share_by_name[rng.choice(holders)]
        if share.wait(now) <= 0:
            share.reserve(now)
            sent.append(now)

    assert _most_in_window(sent) <= 1.5 * WINDOW_SECONDS * rate + 5
    assert len(sent) <= 40.0 * rate + 3.0 + rate + 1


def test_full_demand_uses_the_whole_limit():
    shares = [RateShare(0.0, 0.0) for _ in range(3)]
    for share in shares:
        share.set_part(1.5, 3, 0.0)
    sent = 0
    for tick in range(4000):
        for share in shares:
            if share.wait(tick / 100) <= 0:
                share.reserve(tick / 100)
                sent += 1

    assert sent == pytest.approx(60, abs=4)


def test_changes_of_the_rate_add_no_requests():
    share, sent = RateShare(0.0, 0.0), 0
    for tick in range(1000):
        share.set_part(2.0 + 0.1 * (tick % 2), 2, tick / 100)
        if share.wait(tick / 100) <= 0:
            share.reserve(tick / 100)
            sent += 1

    assert sent <= 1.05 * 10 + 3


def test_reservations_are_served_in_order():
    share = RateShare(0.0, 0.0)
    share.set_part(2.0, 2, 0.0)

    assert [share.reserve(0.0) for _ in range(3)] == [1.0, 2.0, 3.0]


def test_share_of_nothing_never_sends():
    share = RateShare(0.0, 0.0)
    share.set_part(2.0, 0, 0.0)

    assert share.wait(100.0) == float("inf")


def test_all_processes_choose_the_same_holders():
    names = [f"host-{number}" for number in range(20)]

    assert rate_holders("u", names, 3.0) == rate_holders("u", reversed(names), 3.0)
    assert rate_holders("u", names[:2], 30.0) == set(names[:2])
