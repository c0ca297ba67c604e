"""Result of one variant under one scenario."""

from dataclasses import dataclass

from wharf_standins.bench.outcome import Outcome

__all__ = ["RunResult"]


@dataclass(frozen=True, slots=True)
class RunResult:
    """Outcomes, attempts and costs of one run.

    `busy_by_pool` and `wasted_by_pool` are seconds of service time, in all and for
    requests without a good answer. `cold_excess` counts calls above the limit of a
    cold upstream, `late_begins` calls to a data centre that was out, `doubled_holds`
    non-idempotent requests that ran more than once.
    """

    variant: str
    outcomes: tuple[Outcome, ...]
    first_tries: int
    retries: int
    redirects: int
    busy_by_pool: dict[str, float]
    wasted_by_pool: dict[str, float]
    cold_excess: int
    overload_crashes: int
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
        """Return the number of drafts that ended without an answer or a refusal."""
        return sum(each.is_lost for each in self.of_kind("draft"))

    def attainment(self, outcomes):
        """Return the share of `outcomes` that are good, or 1 when there are none."""
        return sum(each.is_good for each in outcomes) / len(outcomes or [0]) or (
            0.0 if outcomes else 1.0
        )
