"""A caller gets the whole answer to its own request."""

from wharf_standins.history.violation import Violation

__all__ = ["check_whole_answers"]

PROMISE = "whole answers"


def check_whole_answers(history):
    """Return answers that are another's, not whole, or of no completed run."""
    sent_by_number = {sent.number: sent for sent in history.sent}
    completed = {(run.input, run.stage) for run in history.runs if run.completed}
    violations = []
    for got in filter(lambda got: got.is_answer, history.got):
        sent = sent_by_number[got.number]
        if got.answered != sent.input:
            detail = f"sending {sent.number} got the answer of {got.answered!r}"
            violations.append(Violation(PROMISE, detail))
        if not got.is_whole:
            violations.append(Violation(PROMISE, f"sending {sent.number} was cut"))
        violations += [
            Violation(PROMISE, f"sending {sent.number} without a run of {stage}")
            for stage in history.stages_by_pipeline[sent.pipeline]
            if (sent.input, stage) not in completed
        ]
    return violations
