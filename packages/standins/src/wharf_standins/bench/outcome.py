"""What one caller got."""

from dataclasses import dataclass

__all__ = ["Outcome"]


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended; `seconds` is the time that the caller waited.

    `code` is the result code, or None when the caller got no whole answer and
    no explicit refusal either.
    """

    number: int
    kind: str
    customer: str
    request: str
    code: int | None
    is_own: bool
    seconds: float
    deadline: float

    @property
    def is_good(self):
        """Return whether the caller got its own whole answer in time."""
        return self.code == 0 and self.is_own and self.seconds <= self.deadline

    @property
    def is_lost(self):
        """Return whether neither an answer nor a refusal came."""
        return self.code is None
