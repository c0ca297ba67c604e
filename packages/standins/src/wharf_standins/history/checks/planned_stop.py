"""A planned stop cuts no request."""

from itertools import product

from wharf_standins.history.span_kind import SpanKind
from wharf_standins.history.violation import Violation

__all__ = ["check_planned_stop"]

PROMISE = "planned stop"


def check_planned_stop(history):
    """Return requests and runs that were cut by planned stops."""
    stops = history.spans_of(SpanKind.PLANNED_STOP)
    return [*_cut_callers(history, stops), *_cut_runs(history, stops)]


def _cut_callers(history, stops):
    stopped = {span.subject for span in stops}
    entry_by_number = {sent.number: sent.entry for sent in history.sent}
    for got in history.got:
        entry = entry_by_number[got.number]
        if got.cut and entry in stopped:
            yield Violation(PROMISE, f"sending {got.number} was cut at {entry}")


def _cut_runs(history, stops):
    killed = {span.subject for span in history.spans_of(SpanKind.DOWN)}
    for span, run in product(stops, history.runs):
        was_running = run.begin < span.begin < run.end
        was_cut = was_running and not run.completed and run.upstream == span.subject
        by_killed_entry = any(run.request.startswith(name) for name in killed)
        if was_cut and not by_killed_entry and run.upstream not in killed:
            yield Violation(PROMISE, f"{run.attempt} was cut at {run.upstream}")
