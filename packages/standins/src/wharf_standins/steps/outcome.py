"""The outcome of a step load trial."""

from dataclasses import dataclass, field

__all__ = ["ClassOutcome", "Outcome"]


@dataclass(slots=True)
class ClassOutcome:
    """Requests of one class by outcome.

    `refusal_seconds` is the sum of the times until requests were refused.
    """

    requests: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    refusal_seconds: float = 0.0


@dataclass(slots=True)
class Outcome:
    """Outcomes by class, load by service, and shares of the worth of all requests.

    `worth` is the share of worth that responses earned. `late_refusal_worth` is the
    share of worth of refused requests, weighted by the time until the refusal: with 0
    up to an eighth of the soft deadline, rising to 1 at three quarters of the deadline.
    """

    by_class: dict[str, ClassOutcome] = field(default_factory=dict)
    worth: float = 0.0
    late_refusal_worth: float = 0.0
    calls: dict[str, int] = field(default_factory=dict)
    pieces: dict[str, int] = field(default_factory=dict)
    busy: dict[str, float] = field(default_factory=dict)
    out_of_space: int = 0
    cross_centre_bytes: int = 0
