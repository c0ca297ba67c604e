"""Record of what callers, upstreams and daemons did in one run."""

from collections import defaultdict
from dataclasses import dataclass, field

from wharf_standins.history.adoption import Adoption
from wharf_standins.history.call_outcome import CallOutcome
from wharf_standins.history.sent_request import SentRequest
from wharf_standins.history.span import Span
from wharf_standins.run_record import RunRecord

__all__ = ["History"]


@dataclass(slots=True)
class History:
    """The events of one run, on one clock.

    `accepted_operations` holds the ids of the changes that the store acknowledged to
    operators, `final_operations` those that its document lists at the end.
    `stages_by_pipeline` names the stages, `exclusive_stages` those that are not
    idempotent. `cold_limit_by_upstream` is the number of concurrent calls that a
    cold upstream can run, `warming_runs` the completed runs after which it is warm.
    """

    stages_by_pipeline: dict[str, tuple[str, ...]] = field(default_factory=dict)
    exclusive_stages: frozenset[str] = frozenset()
    cold_limit_by_upstream: dict[str, int] = field(default_factory=dict)
    warming_runs: int = 20
    new_version: str = ""
    processes: tuple[str, ...] = ()
    sent_requests: list[SentRequest] = field(default_factory=list)
    call_outcomes: list[CallOutcome] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    adoptions: list[Adoption] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    accepted_operations: list[str] = field(default_factory=list)
    final_operations: tuple[str, ...] = ()
    begin: float = 0.0
    end: float = 0.0

    def call_outcomes_by_number(self):
        """Return the outcomes of each call, by its number."""
        by_number = defaultdict(list)
        for outcome in self.call_outcomes:
            by_number[outcome.number].append(outcome)
        return by_number

    def runs_by_request(self):
        """Return the runs of each request, by its id."""
        by_request = defaultdict(list)
        for run in self.runs:
            by_request[run.request].append(run)
        return by_request

    def spans_of(self, kind):
        """Return the spans of one kind."""
        return [span for span in self.spans if span.kind is kind]
