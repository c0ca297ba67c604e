"""A data centre taken out of service gets no new calls after a few seconds."""

from itertools import product

from wharf_standins.history.span_kind import SpanKind
from wharf_standins.history.violation import Violation

__all__ = ["check_data_centre_out"]

GUARANTEE = "data centre out"
GRACE_SECONDS = 2.0


def check_data_centre_out(history, grace=GRACE_SECONDS):
    """Return runs that began over `grace` seconds after their data centre was out."""
    spans = history.spans_of(SpanKind.DATA_CENTRE_OUT)
    return [
        Violation(GUARANTEE, f"{run.attempt} on {run.upstream}")
        for span, run in product(spans, history.runs)
        if run.data_centre == span.subject and span.covers(run.begin, grace)
    ]
