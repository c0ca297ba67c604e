"""Interval of time during which a condition held."""

from dataclasses import dataclass
from math import inf

from wharf_standins.history.span_kind import SpanKind

__all__ = ["Span"]


@dataclass(frozen=True, slots=True)
class Span:
    """`kind` held for `subject` from `begin` to `end` seconds."""

    kind: SpanKind
    subject: str
    begin: float
    end: float = inf

    def covers(self, at, grace=0.0):
        """Return whether `at` is in the span, over `grace` seconds after its begin."""
        return self.begin + grace < at < self.end
