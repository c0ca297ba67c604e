"""A caller gets the complete answer to its own request."""

from wharf_standins.history.violation import Violation

__all__ = ["check_whole_answers"]

GUARANTEE = "whole answers"


def check_whole_answers(history):
    """Return answers that are misdelivered, incomplete or without completed runs."""
    sent_by_number = {sent.number: sent for sent in history.sent_requests}
    completed = {(run.input, run.stage) for run in history.runs if run.completed}
    violations = []
    for outcome in filter(lambda outcome: outcome.is_answer, history.call_outcomes):
        sent = sent_by_number[outcome.number]
        if outcome.echoed_input != sent.input:
            detail = (
                f"call {sent.number} got the answer to input {outcome.echoed_input!r}"
            )
            violations.append(Violation(GUARANTEE, detail))
        if not outcome.is_complete:
            violations.append(
                Violation(GUARANTEE, f"call {sent.number} got an incomplete answer")
            )
        violations += [
            Violation(
                GUARANTEE,
                f"call {sent.number} got an answer without a completed run of {stage}",
            )
            for stage in history.stages_by_pipeline[sent.pipeline]
            if (sent.input, stage) not in completed
        ]
    return violations
