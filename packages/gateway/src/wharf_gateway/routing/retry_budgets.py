"""Bounds on retries, for each service, that hold for all gateways together."""

from wharf_coordination.retry_budget import RetryBudget

__all__ = ["RetryBudgets"]

# The bound is counted in sliding windows, and a clock or a count may be a little off.
SAFETY_SHARE = 0.8
UNKNOWN_GATEWAYS = 8  # assumed until the store has told how many there are


class RetryBudgets:
    """Allow `share` retries for each request and a part of `reserve` at once.

    Each gateway has an equal part of the reserve, whether or not it hears of the
    others, so that the sum never exceeds it. `gateways()` returns their number.
    """

    def __init__(self, share, reserve, gateways):
        self._share = share * SAFETY_SHARE
        self._reserve = reserve * SAFETY_SHARE
        self._gateways = gateways
        self._budget_by_service = {}

    def count_first_try(self, service):
        """Earn a share of a retry."""
        self._budget(service).count_first_try()

    def spend(self, service):
        """Take one retry; return whether there was one."""
        return self._budget(service).spend()

    def _budget(self, service):
        reserve = self._reserve / (self._gateways() or UNKNOWN_GATEWAYS)
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._share, reserve, reserve)
            self._budget_by_service[service] = budget
        budget.reserve = reserve
        budget.tokens = min(budget.tokens, reserve)
        return budget
