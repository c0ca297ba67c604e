"""A bad version gets a small share of traffic, and none soon after its veto."""

from itertools import product

from wharf_standins.history.span_kind import SpanKind
from wharf_standins.history.violation import Violation

__all__ = ["check_bad_version"]

GUARANTEE = "bad version"
GRACE_SECONDS = 2.0
MAX_SHARE = 0.05
# With fewer calls, a single additional one could exceed the bound by chance.
MIN_CALLS = 200


def check_bad_version(history, grace=GRACE_SECONDS, max_share=MAX_SHARE):
    """Return violations: too large a share before the veto, or runs after `grace`."""
    spans = history.spans_of(SpanKind.VETOED)
    late = [
        Violation(GUARANTEE, f"{run.attempt} of version {run.version} after the veto")
        for span, run in product(spans, history.runs)
        if run.version == span.subject and span.covers(run.begin, grace)
    ]
    return late + [
        violation
        for span in spans
        for violation in _share_violations(history, span, max_share)
    ]


def _share_violations(history, span, max_share):
    before = [run for run in history.runs if run.begin <= span.begin]
    count = sum(run.version == span.subject for run in before)
    if len(before) >= MIN_CALLS and count > max_share * len(before):
        yield Violation(GUARANTEE, f"{count} of {len(before)} runs before the veto")
