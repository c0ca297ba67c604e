"""Retry budgets of services, shared by all gateways."""

from wharf_coordination.retry_budget import RetryBudget

__all__ = ["RetryBudgets"]

# The limit applies to sliding windows, and clocks and counts may be slightly off.
SAFETY_FACTOR = 0.8
DEFAULT_GATEWAY_COUNT = 8  # assumed until the gateways are read from the store


class RetryBudgets:
    """Allow `share` retries for each request, and a burst from `reserve`.

    Each gateway uses an equal part of the reserve even if it can't reach the others,
    so that the sum never exceeds it. `gateways()` returns the number of gateways,
    0 if it is unknown.
    """

    def __init__(self, share, reserve, gateways):
        self._share = share * SAFETY_FACTOR
        self._reserve = reserve * SAFETY_FACTOR
        self._gateways = gateways
        self._budget_by_service = {}

    def count_first_try(self, service):
        """Add `share` of a retry to the budget of `service`."""
        self._budget(service).count_first_try()

    def spend(self, service):
        """Use one retry of `service`; return whether one was available."""
        return self._budget(service).spend()

    def has_retry(self, service):
        """Return whether a retry of `service` is available."""
        return self._budget(service).tokens >= 1.0

    def _budget(self, service):
        reserve = self._reserve / (self._gateways() or DEFAULT_GATEWAY_COUNT)
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._share, reserve, reserve)
            self._budget_by_service[service] = budget
        budget.reserve = reserve
        budget.tokens = min(budget.tokens, reserve)
        return budget
