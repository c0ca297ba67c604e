"""A planned stop interrupts no request."""

from itertools import product

from wharf_standins.history.span_kind import SpanKind
from wharf_standins.history.violation import Violation

__all__ = ["check_planned_stop"]

GUARANTEE = "planned stop"


def check_planned_stop(history):
    """Return requests and runs that were interrupted by planned stops."""
    stops = history.spans_of(SpanKind.PLANNED_STOP)
    return [*_interrupted_calls(history, stops), *_interrupted_runs(history, stops)]


def _interrupted_calls(history, stops):
    stopped = {span.subject for span in stops}
    entry_by_number = {sent.number: sent.entry for sent in history.sent_requests}
    for outcome in history.call_outcomes:
        entry = entry_by_number[outcome.number]
        if outcome.interrupted and entry in stopped:
            yield Violation(
                GUARANTEE, f"call {outcome.number} was interrupted at {entry}"
            )


def _interrupted_runs(history, stops):
    killed = {span.subject for span in history.spans_of(SpanKind.DOWN)}
    for span, run in product(stops, history.runs):
        was_running = run.begin < span.begin < run.end
        was_interrupted = (
            was_running and not run.completed and run.upstream == span.subject
        )
        by_killed_entry = any(run.request.startswith(name) for name in killed)
        if was_interrupted and not by_killed_entry and run.upstream not in killed:
            yield Violation(
                GUARANTEE, f"{run.attempt} was interrupted at {run.upstream}"
            )
