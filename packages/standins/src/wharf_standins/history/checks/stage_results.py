"""No stage result is lost, doubled or given to another request."""

from wharf_standins.history.violation import Violation

__all__ = ["check_stage_results"]

PROMISE = "stage results"


def check_stage_results(history):
    """Return sendings without exactly one outcome, and answers without their runs."""
    outcomes = history.got_by_number()
    runs = history.runs_by_request()
    violations = []
    for sent in history.sent:
        count = len(outcomes[sent.number])
        if count != 1:
            detail = f"sending {sent.number} has {count} outcomes"
            violations.append(Violation(PROMISE, detail))
    input_by_number = {sent.number: sent.input for sent in history.sent}
    input_by_request = {got.request: input_by_number[got.number] for got in history.got}
    for request, own in runs.items():
        expected = input_by_request.get(request)
        violations += [
            Violation(PROMISE, f"run {run.attempt} has the input of {run.input!r}")
            for run in own
            if expected is not None and run.input != expected
        ]
    return violations
