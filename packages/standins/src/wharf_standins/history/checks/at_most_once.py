"""A non-idempotent request runs at most once."""

from collections import Counter

from wharf_standins.history.violation import Violation

__all__ = ["check_at_most_once"]

GUARANTEE = "at most once"


def check_at_most_once(history):
    """Return a violation for each input that a non-idempotent stage ran repeatedly."""
    counts = Counter(
        (run.input, run.stage)
        for run in history.runs
        if run.stage in history.exclusive_stages
    )
    return [
        Violation(GUARANTEE, f"{input!r} ran {count} times in {stage}")
        for (input, stage), count in counts.items()
        if count > 1
    ]
