"""Retries of all gateways together stay within the bound."""

from wharf_gateway.routing.retry_budgets import RetryBudgets

SHARE, RESERVE = 0.2, 52


def test_gateways_that_cannot_see_each_other_keep_the_bound_together():
    budgets = [RetryBudgets(SHARE, RESERVE, lambda: 3) for _ in range(3)]
    requests = 100
    retries = 0
    for budget in budgets:
        for _ in range(requests):
            budget.count_first_try("s")
            retries += budget.spend("s")
            retries += budget.spend("s")

    assert retries <= SHARE * requests * len(budgets) + RESERVE


def test_a_service_that_fails_takes_no_retries_from_others():
    budgets = RetryBudgets(SHARE, RESERVE, lambda: 3)
    while budgets.spend("failing"):
        pass

    assert budgets.spend("sound")


def test_a_seventh_of_failures_can_all_be_tried_again():
    """As reads of the tally fail on the operators' sheet: 14 in 100."""
    budgets = RetryBudgets(SHARE, RESERVE, lambda: 3)

    for number in range(1000):
        budgets.count_first_try("s")
        if number % 7 == 0:
            assert budgets.spend("s")


def test_before_the_number_is_known_little_is_allowed():
    budgets = RetryBudgets(SHARE, RESERVE, lambda: 0)

    assert sum(budgets.spend("s") for _ in range(100)) <= RESERVE / 8
