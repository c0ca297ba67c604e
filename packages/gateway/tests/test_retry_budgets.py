"""Retry budgets: all gateways together stay within the limit."""

from wharf_gateway.routing.retry_budgets import RetryBudgets

SHARE, RESERVE = 0.2, 52


def test_gateways_without_contact_stay_within_the_limit_together():
    budgets = [RetryBudgets(SHARE, RESERVE, lambda: 3) for _ in range(3)]
    requests = 100
    retries = 0
    for budget in budgets:
        for _ in range(requests):
            budget.count_first_try("s")
            retries += budget.spend("s")
            retries += budget.spend("s")

    assert retries <= SHARE * requests * len(budgets) + RESERVE


def test_retries_of_a_failing_service_do_not_use_up_those_of_others():
    budgets = RetryBudgets(SHARE, RESERVE, lambda: 3)
    while budgets.spend("failing"):
        pass

    assert budgets.spend("healthy")


def test_with_a_seventh_of_requests_failing_each_is_retried():
    """One of the operators' scenarios has 14 failures in 100 reads of a service."""
    budgets = RetryBudgets(SHARE, RESERVE, lambda: 3)

    for number in range(1000):
        budgets.count_first_try("s")
        if number % 7 == 0:
            assert budgets.spend("s")


def test_while_the_number_of_gateways_is_unknown_the_reserve_is_small():
    budgets = RetryBudgets(SHARE, RESERVE, lambda: 0)

    assert sum(budgets.spend("s") for _ in range(100)) <= RESERVE / 8
