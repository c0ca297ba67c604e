"""A leaving upstream gets no new work after a few seconds."""

from itertools import product

from wharf_standins.history.span_kind import SpanKind
from wharf_standins.history.violation import Violation

__all__ = ["check_leaving_upstream"]

PROMISE = "leaving upstream"
GRACE_SECONDS = 2.0


def check_leaving_upstream(history, grace=GRACE_SECONDS):
    """Return runs that began on an upstream more than `grace` after it left."""
    spans = history.spans_of(SpanKind.LEAVING)
    return [
        Violation(PROMISE, f"{run.attempt} on {run.upstream}")
        for span, run in product(spans, history.runs)
        if run.upstream == span.subject and span.covers(run.begin, grace)
    ]
