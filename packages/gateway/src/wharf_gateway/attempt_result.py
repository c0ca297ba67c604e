"""The result of one attempt to send a request."""

from dataclasses import dataclass
from typing import Any

__all__ = ["AttemptResult"]


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """What an attempt leads to.

    `answer` is the response for the caller if no further attempt succeeds, or None if
    the caller has been answered. `not_run` says that the upstream certainly did not
    run the request. `counts` is 1 if the attempt counts towards the route's limit,
    otherwise 0. `is_final` forbids further attempts.
    """

    answer: Any = None
    not_run: bool = False
    counts: int = 1
    is_final: bool = False

    @property
    def outcome(self):
        """Return the outcome as a metric label."""
        return "served" if self.answer is None else self.answer.code.label
