"""Limit on retries relative to first attempts."""

from dataclasses import dataclass

__all__ = ["RetryBudget"]

SHARE = 0.1
RESERVE = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Allow `share` retries per first attempt, with bursts of up to `reserve`.

    If every call fails, retries increase the load by no more than that share.
    """

    share: float = SHARE
    reserve: float = RESERVE
    tokens: float = RESERVE / 2

    def count_first_try(self):
        """Count a first attempt, which adds `share` of a token."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def spend(self):
        """Take the token for one retry; return whether one was available.

        >>> budget = RetryBudget(tokens=1.0)
        >>> budget.spend(), budget.spend()
        (True, False)
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
