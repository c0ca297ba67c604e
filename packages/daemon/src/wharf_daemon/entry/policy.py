"""The decisions of an entry that can be replaced."""

from dataclasses import dataclass, field
from typing import Protocol

from wharf_coordination import Candidate, Chooser, OutlierDetector, RetryBudget

__all__ = ["EntryPolicy"]

MAX_ATTEMPTS = 8
PLAIN_ATTEMPTS = 4
UNBOUNDED = 1e9


class CandidateChooser(Protocol):
    """A choice of the upstream that runs a call."""

    def choose(self, candidates, now, prefix="") -> Candidate | None:
        """Return one of the candidates, or None when there is none."""


@dataclass(slots=True)
class EntryPolicy:
    """How an entry chooses upstreams, retries, and whether calls wait for room.

    `max_attempts` leaves out those that met a full gate, which wait for room.
    """

    chooser: CandidateChooser
    outliers: OutlierDetector = field(default_factory=OutlierDetector)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    is_queueing: bool = True
    max_attempts: int = MAX_ATTEMPTS

    @classmethod
    def standard(cls, rng, data_centre):
        """Return the policy that daemons run."""
        outliers = OutlierDetector()
        return cls(Chooser(rng, data_centre, outliers=outliers), outliers)

    @classmethod
    def plain(cls, chooser):
        """Return a policy that only chooses, and retries without a budget."""
        budget = RetryBudget(reserve=UNBOUNDED, tokens=UNBOUNDED)
        return cls(
            chooser,
            retry_budget=budget,
            is_queueing=False,
            max_attempts=PLAIN_ATTEMPTS,
        )
