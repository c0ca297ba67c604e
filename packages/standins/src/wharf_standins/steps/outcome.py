"""What a step trial gave."""

from dataclasses import dataclass, field

__all__ = ["ClassOutcome", "Outcome"]


@dataclass(slots=True)
class ClassOutcome:
    """Requests of one class by how they ended."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    held_seconds: float = 0.0


@dataclass(slots=True)
class Outcome:
    """Outcomes by class, the load of the services, and the share of worth earned.

    `held_worth` is the share of worth of refused requests, weighed by how long they
    were kept waiting: nothing up to an eighth of the aim, all from three quarters
    of the deadline on.
    """

    by_class: dict[str, ClassOutcome] = field(default_factory=dict)
    worth: float = 0.0
    held_worth: float = 0.0
    calls: dict[str, int] = field(default_factory=dict)
    pieces: dict[str, int] = field(default_factory=dict)
    busy: dict[str, float] = field(default_factory=dict)
    without_room: int = 0
    crossed_bytes: int = 0
