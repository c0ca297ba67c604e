"""Each checker finds a violation in a history made by hand."""

import pytest

from wharf_standins.history import CHECKS, History, check_history
from wharf_standins.history.adoption import Adoption
from wharf_standins.history.call_outcome import CallOutcome
from wharf_standins.history.sent_request import SentRequest
from wharf_standins.history.span import Span
from wharf_standins.history.span_kind import SpanKind
from wharf_standins.run_record import RunRecord


def run(number=1, stage="generate", at=1.0, **changes):
    fields = {
        "upstream": "model-0",
        "data_centre": "dc-1",
        "attempt": f"r{number}/{stage}/0",
        "request": f"r{number}",
        "version": "1",
        "begin": at,
        "end": at + 0.1,
        "completed": True,
        "stage": stage,
        "input": f"n-{number}",
    }
    return RunRecord(**fields | changes)


def call_outcome(number=1, **changes):
    fields = {"number": number, "at": 2.0, "request": f"r{number}"}
    return CallOutcome(**fields | {"echoed_input": f"n-{number}"} | changes)


@pytest.fixture
def history():
    """A history in which two requests were answered correctly."""
    return History(
        stages_by_pipeline={"ask": ("generate",)},
        exclusive_stages=frozenset({"record"}),
        cold_limit_by_upstream={"model-0": 2},
        processes=("entry-0",),
        sent_requests=[
            SentRequest(number, "ask", "entry-0", f"n-{number}", 0.9)
            for number in (1, 2)
        ],
        call_outcomes=[call_outcome(1), call_outcome(2)],
        runs=[run(1), run(2)],
        adoptions=[Adoption("entry-0", 1, 0.1)],
        spans=[Span(SpanKind.ACCEPTED, "1", 0.0)],
        accepted_operations=["a"],
        final_operations=("a",),
        end=10.0,
    )


def lose_outcome(history):
    history.call_outcomes.pop()


def duplicate_outcome(history):
    history.call_outcomes.append(call_outcome(1))


def swap_input(history):
    history.runs[0].input = "n-2"


def exceed_cold_limit(history):
    history.runs.append(run(3, running=3))


def exceed_cold_limit_after_restart(history):
    history.runs.append(run(3, incarnation=2, at=1.0))
    history.runs.append(run(4, incarnation=2, at=1.6, running=3))


def run_in_data_centre_out(history):
    history.spans.append(Span(SpanKind.DATA_CENTRE_OUT, "dc-1", 1.0, 5.0))
    history.runs.append(run(3, at=3.1))


def run_vetoed(history):
    history.spans.append(Span(SpanKind.VETOED, "2", 1.0))
    history.runs.append(run(3, at=3.1, version="2"))


def give_bad_version_a_large_share(history):
    history.spans.append(Span(SpanKind.VETOED, "2", 5.0))
    history.runs += [run(number, version="2") for number in range(3, 20)]
    history.runs += [run(number) for number in range(20, 220)]


def deliver_answer_to_another_request(history):
    history.call_outcomes[0] = call_outcome(1, echoed_input="n-2")


def truncate_answer(history):
    history.call_outcomes[0] = call_outcome(1, is_complete=False)


def answer_without_run(history):
    del history.runs[0]


def refuse_after_start(history):
    history.call_outcomes[0] = call_outcome(1, code=3003, ran="no")


def run_twice(history):
    history.runs += [run(1, "record"), run(1, "record", request="r9")]


def run_on_leaving(history):
    history.spans.append(Span(SpanKind.LEAVING, "model-0", 0.5))
    history.runs.append(run(3, at=2.6))


def interrupt_call(history):
    history.spans.append(Span(SpanKind.PLANNED_STOP, "entry-0", 1.5))
    history.call_outcomes[0] = call_outcome(1, interrupted=True)


def interrupt_run(history):
    history.spans.append(Span(SpanKind.PLANNED_STOP, "model-0", 1.05))
    history.runs[0].completed = False


def revert(history):
    history.adoptions += [Adoption("entry-0", 2, 1.0), Adoption("entry-0", 1, 2.0)]


def miss_revision(history):
    history.spans.append(Span(SpanKind.ACCEPTED, "2", 1.0))


def overwrite(history):
    history.accepted_operations.append("b")


GUARANTEE_BY_CHANGE = {
    lose_outcome: "stage results",
    duplicate_outcome: "stage results",
    swap_input: "stage results",
    exceed_cold_limit: "cold start",
    exceed_cold_limit_after_restart: "cold start",
    run_in_data_centre_out: "data centre out",
    run_vetoed: "bad version",
    give_bad_version_a_large_share: "bad version",
    deliver_answer_to_another_request: "whole answers",
    truncate_answer: "whole answers",
    answer_without_run: "whole answers",
    refuse_after_start: "not run",
    run_twice: "at most once",
    run_on_leaving: "leaving upstream",
    interrupt_call: "planned stop",
    interrupt_run: "planned stop",
    revert: "configuration",
    miss_revision: "configuration",
    overwrite: "configuration",
}


def test_good_history_has_no_violation(history):
    assert check_history(history) == []


@pytest.mark.parametrize("violate", GUARANTEE_BY_CHANGE)
def test_violation_is_found(history, violate):
    violate(history)
    guarantees = {violation.guarantee for violation in check_history(history)}
    assert GUARANTEE_BY_CHANGE[violate] in guarantees


def test_each_guarantee_has_a_violation():
    assert len(CHECKS) == len(set(GUARANTEE_BY_CHANGE.values())) == 10
