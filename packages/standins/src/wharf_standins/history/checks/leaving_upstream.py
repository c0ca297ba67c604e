"""An upstream that is being removed gets no new calls after a few seconds."""

from itertools import product

from wharf_standins.history.span_kind import SpanKind
from wharf_standins.history.violation import Violation

__all__ = ["check_leaving_upstream"]

GUARANTEE = "leaving upstream"
GRACE_SECONDS = 2.0


def check_leaving_upstream(history, grace=GRACE_SECONDS):
    """Return runs that began over `grace` seconds after their upstream's removal."""
    spans = history.spans_of(SpanKind.LEAVING)
    return [
        Violation(GUARANTEE, f"{run.attempt} on {run.upstream}")
        for span, run in product(spans, history.runs)
        if run.upstream == span.subject and span.covers(run.begin, grace)
    ]
