"""A refusal that says "not run" is true."""

from wharf_standins.history.violation import Violation

__all__ = ["check_not_run"]

PROMISE = "not run"


def check_not_run(history):
    """Return refusals that say "not run" of requests that ran."""
    runs = history.runs_by_request()
    return [
        Violation(
            PROMISE, f"sending {got.number} ran as {runs[got.request][0].attempt}"
        )
        for got in history.got
        if got.ran == "no" and got.request in runs
    ]
