"""Bound on retries as a share of first tries."""

from dataclasses import dataclass

__all__ = ["RetryBudget"]

SHARE = 0.1
RESERVE = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Allow at most `share` retries for each first try, and `reserve` at once.

    When everything fails, retries add no more than that share to the load.
    """

    share: float = SHARE
    reserve: float = RESERVE
    tokens: float = RESERVE / 2

    def count_first_try(self):
        """Earn a share of a retry."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def spend(self):
        """Take one retry; return whether there was one.

        >>> budget = RetryBudget(tokens=1.0)
        >>> budget.spend(), budget.spend()
        (True, False)
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
