"""How one attempt of a request ended."""

from dataclasses import dataclass
from typing import Any

__all__ = ["AttemptFate"]


@dataclass(frozen=True, slots=True)
class AttemptFate:
    """The answer that the attempt would give; none if the caller has got one.

    `not_run` says that the request certainly hasn't run there, `counts` whether the
    attempt is one of those that the route allows, `is_final` that no other may follow.
    """

    answer: Any = None
    not_run: bool = False
    counts: int = 1
    is_final: bool = False

    @property
    def outcome(self):
        """Return a name for metrics."""
        return "served" if self.answer is None else self.answer.code.label
