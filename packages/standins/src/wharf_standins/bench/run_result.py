"""What one variant did under one scenario."""

from dataclasses import dataclass

from wharf_standins.bench.outcome import Outcome

__all__ = ["RunResult"]


@dataclass(frozen=True, slots=True)
class RunResult:
    """Outcomes, attempts and costs of one run."""

    variant: str
    outcomes: tuple[Outcome, ...]
    first_tries: int
    retries: int
    redirects: int
    busy_by_pool: dict[str, float]
    wasted_by_pool: dict[str, float]
    cold_excess: int
    falls: int
    late_begins: int
    doubled_holds: int

    def of_kind(self, kind):
        """Return the outcomes of one class."""
        return [each for each in self.outcomes if each.kind == kind]

    @property
    def good(self):
        """Return the number of good answers."""
        return sum(each.is_good for each in self.outcomes)

    @property
    def lost_drafts(self):
        """Return the drafts that ended without an answer or a refusal."""
        return sum(each.is_lost for each in self.of_kind("draft"))

    def attainment(self, outcomes):
        """Return the share of `outcomes` that are good, or 1 when there are none."""
        return sum(each.is_good for each in outcomes) / len(outcomes or [0]) or (
            0.0 if outcomes else 1.0
        )
