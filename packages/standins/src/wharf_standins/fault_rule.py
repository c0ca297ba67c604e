"""Rules for fault injection in the stand-in of an upstream."""

from dataclasses import dataclass
from enum import StrEnum

from wharf_standins.run_record import RunRecord

__all__ = ["FaultKind", "FaultRule"]


class FaultKind(StrEnum):
    """The fault of a run that a rule matches."""

    SLOW = "slow"
    FAIL = "fail"
    REFUSE = "refuse"
    CUT = "cut"
    GARBLE = "garble"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class FaultRule:
    """Inject a fault into each run that matches all conditions.

    An empty condition matches every run. `above` is a number of concurrent runs
    that must be exceeded, `since` a time of the stand-in's clock, and `text` must
    occur in the input. `share` is the probability that a matching run is affected;
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
        """Return whether to inject the fault into this run."""
        return (
            self.version in ("", record.version)
            and self.route in ("", record.route)
            and self.text in str(record.input)
            and record.running > self.above
            and record.begin >= self.since
            and (self.share >= 1.0 or rng.random() < self.share)
        )
