"""Replaceable scheduling policy of an entry."""

from dataclasses import dataclass, field
from typing import Protocol

from wharf_coordination import Candidate, Chooser, OutlierDetector, RetryBudget

__all__ = ["EntryPolicy"]

MAX_ATTEMPTS = 8
BASELINE_MAX_ATTEMPTS = 4
UNLIMITED_TOKENS = 1e9


class CandidateChooser(Protocol):
    """Interface of a strategy that chooses the upstream of a call."""

    def choose(self, candidates, now, prefix="") -> Candidate | None:
        """Return one of the candidates, or None when there is none."""


@dataclass(slots=True)
class EntryPolicy:
    """Strategy for choosing upstreams, queueing and retries.

    Attempts refused by a full upstream don't count towards `max_attempts`.
    """

    chooser: CandidateChooser
    outliers: OutlierDetector = field(default_factory=OutlierDetector)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    is_queueing: bool = True
    max_attempts: int = MAX_ATTEMPTS

    @classmethod
    def standard(cls, rng, data_centre):
        """Return the policy that daemons use by default."""
        outliers = OutlierDetector()
        return cls(Chooser(rng, data_centre, outliers=outliers), outliers)

    @classmethod
    def baseline(cls, chooser):
        """Return a policy without queueing and with an unlimited retry budget."""
        budget = RetryBudget(reserve=UNLIMITED_TOKENS, tokens=UNLIMITED_TOKENS)
        return cls(
            chooser,
            retry_budget=budget,
            is_queueing=False,
            max_attempts=BASELINE_MAX_ATTEMPTS,
        )
