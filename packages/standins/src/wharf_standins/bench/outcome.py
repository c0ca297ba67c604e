"""Outcome of one request, as its caller saw it."""

from dataclasses import dataclass

__all__ = ["Outcome"]


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a request ended; `seconds` is the time that the caller waited.

    `code` is the result code, or None if the caller got neither a complete answer
    nor an explicit refusal. `is_matching` says that the answer repeats the request.
    """

    number: int
    kind: str
    customer: str
    request: str
    code: int | None
    is_matching: bool
    seconds: float
    deadline: float

    @property
    def is_good(self):
        """Return whether the caller got the complete answer to its request in time."""
        return self.code == 0 and self.is_matching and self.seconds <= self.deadline

    @property
    def is_lost(self):
        """Return whether the caller got neither an answer nor a refusal."""
        return self.code is None
