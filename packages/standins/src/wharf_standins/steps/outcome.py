"""The outcome of a step load trial."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["ClassOutcome", "Outcome"]


@dataclass(slots=True)
class ClassOutcome:
    """Requests of one class by outcome.

    `refusal_seconds` is the sum of the times until requests were refused, `seconds`
    has the duration of each preparation. `failed` responses came after the deadline.
    """

    requests: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    refusal_seconds: float = 0.0
    failed: int = 0
    seconds: list[float] = field(default_factory=list)

    def quantile(self, share):
        """Return the preparation time that a share of the preparations took at most."""
        ordered = sorted(self.seconds) or [0.0]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(slots=True)
class Outcome:
    """Outcomes by class, load by service, and shares of the worth of all requests.

    `worth` is the share of worth that responses earned. `late_refusal_worth` is the
    share of worth of refused requests, weighted by the time until the refusal: with 0
    up to an eighth of the soft deadline, rising to 1 at three quarters of the deadline.
    `full` counts calls that found their upstream full, `unused` the results that
    expired, `failures` the reasons of refusals.
    """

    by_class: dict[str, ClassOutcome] = field(default_factory=dict)
    worth: float = 0.0
    late_refusal_worth: float = 0.0
    calls: dict[str, int] = field(default_factory=dict)
    pieces: dict[str, int] = field(default_factory=dict)
    busy: dict[str, float] = field(default_factory=dict)
    out_of_space: int = 0
    full: int = 0
    unused: int = 0
    failures: Counter = field(default_factory=Counter)
    cross_centre_bytes: int = 0
