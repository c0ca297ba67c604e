"""A refusal marked "not run" belongs to a request that did not run."""

from wharf_standins.history.violation import Violation

__all__ = ["check_not_run"]

GUARANTEE = "not run"


def check_not_run(history):
    """Return refusals marked "not run" of requests that ran."""
    runs = history.runs_by_request()
    return [
        Violation(
            GUARANTEE,
            f"call {outcome.number} ran as {runs[outcome.request][0].attempt}",
        )
        for outcome in history.call_outcomes
        if outcome.ran == "no" and outcome.request in runs
    ]
