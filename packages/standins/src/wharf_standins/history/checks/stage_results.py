"""No stage result is lost, duplicated or delivered to another request."""

from wharf_standins.history.violation import Violation

__all__ = ["check_stage_results"]

GUARANTEE = "stage results"


def check_stage_results(history):
    """Return calls without exactly one outcome, and runs with another input."""
    outcomes = history.call_outcomes_by_number()
    runs = history.runs_by_request()
    violations = []
    for sent in history.sent_requests:
        count = len(outcomes[sent.number])
        if count != 1:
            detail = f"call {sent.number} has {count} outcomes"
            violations.append(Violation(GUARANTEE, detail))
    input_by_number = {sent.number: sent.input for sent in history.sent_requests}
    input_by_request = {
        outcome.request: input_by_number[outcome.number]
        for outcome in history.call_outcomes
    }
    for request, request_runs in runs.items():
        expected = input_by_request.get(request)
        violations += [
            Violation(GUARANTEE, f"run {run.attempt} has the input {run.input!r}")
            for run in request_runs
            if expected is not None and run.input != expected
        ]
    return violations
