"""Everything that the stand-ins and the callers of one run wrote down."""

from collections import defaultdict
from dataclasses import dataclass, field

from wharf_standins.history.adopted import Adopted
from wharf_standins.history.got import Got
from wharf_standins.history.sent import Sent
from wharf_standins.history.span import Span
from wharf_standins.run_record import RunRecord

__all__ = ["History"]


@dataclass(slots=True)
class History:
    """The events of one run, on one clock.

    `accepted` holds the ids of the changes that operators were told are accepted,
    `kept` those that the store's document holds at the end.
    `stages_by_pipeline` names the stages, `exclusive_stages` those that are not
    idempotent, `bearable_by_upstream` the calls that a cold upstream bears and
    `warm_after` the completed runs that warm one.
    """

    stages_by_pipeline: dict[str, tuple[str, ...]] = field(default_factory=dict)
    exclusive_stages: frozenset[str] = frozenset()
    bearable_by_upstream: dict[str, int] = field(default_factory=dict)
    warm_after: int = 20
    new_version: str = ""
    processes: tuple[str, ...] = ()
    sent: list[Sent] = field(default_factory=list)
    got: list[Got] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    adopted: list[Adopted] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    accepted: list[str] = field(default_factory=list)
    kept: tuple[str, ...] = ()
    begin: float = 0.0
    end: float = 0.0

    def got_by_number(self):
        """Return the outcomes of each sending."""
        by_number = defaultdict(list)
        for got in self.got:
            by_number[got.number].append(got)
        return by_number

    def runs_by_request(self):
        """Return the runs of each request id."""
        by_request = defaultdict(list)
        for run in self.runs:
            by_request[run.request].append(run)
        return by_request

    def spans_of(self, kind):
        """Return the spans of one kind."""
        return [span for span in self.spans if span.kind is kind]
