"""Faults that a stand-in of an upstream brings about on purpose."""

from dataclasses import dataclass
from enum import StrEnum

from wharf_standins.run_record import RunRecord

__all__ = ["FaultKind", "FaultRule"]


class FaultKind(StrEnum):
    """What happens to a run that a rule matches."""

    SLOW = "slow"
    FAIL = "fail"
    REFUSE = "refuse"
    CUT = "cut"
    GARBLE = "garble"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class FaultRule:
    """Bring about a fault in each run that matches all of the conditions.

    An empty condition matches every run. `above` counts the runs at the same
    time, `since` is a time of the stand-in's clock, `share` is the probability
    with which a matching run is hit, `text` must occur in the caller's input.
    `factor` multiplies the service time of a slow run.
    """

    kind: FaultKind
    version: str = ""
    route: str = ""
    text: str = ""
    above: int = 0
    since: float = 0.0
    share: float = 1.0
    factor: float = 10.0

    def matches(self, record: RunRecord, rng):
        """Return whether the fault hits this run."""
        return (
            self.version in ("", record.version)
            and self.route in ("", record.route)
            and self.text in str(record.input)
            and record.running > self.above
            and record.begin >= self.since
            and (self.share >= 1.0 or rng.random() < self.share)
        )
