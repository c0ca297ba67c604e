"""Outcome of one call, as its caller saw it."""

from dataclasses import dataclass

__all__ = ["CallOutcome"]


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The outcome of the call with the number `number`, at `at` seconds.

    `code` and `ran` come from an error body. `request` is the request id that the
    entry assigned, `echoed_input` the input that the answer repeats. `is_complete`
    says that a stream arrived with all its chunks and its end event, `interrupted`
    that the connection broke or timed out before the response was complete.
    """

    number: int
    at: float
    code: int = 0
    ran: str = ""
    request: str = ""
    echoed_input: str = ""
    is_complete: bool = True
    interrupted: bool = False

    @property
    def is_answer(self):
        """Return whether the caller received an answer rather than an error."""
        return not self.interrupted and self.code == 0
