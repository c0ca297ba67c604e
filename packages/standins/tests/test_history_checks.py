"""Each checker finds a broken promise in a history made by hand."""

import pytest

from wharf_standins.history import CHECKS, History, check_history
from wharf_standins.history.adopted import Adopted
from wharf_standins.history.got import Got
from wharf_standins.history.sent import Sent
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


def got(number=1, **changes):
    fields = {"number": number, "at": 2.0, "request": f"r{number}"}
    return Got(**fields | {"answered": f"n-{number}"} | changes)


@pytest.fixture
def history():
    """A history in which two requests were answered as they should be."""
    return History(
        stages_by_pipeline={"ask": ("generate",)},
        exclusive_stages=frozenset({"record"}),
        bearable_by_upstream={"model-0": 2},
        processes=("entry-0",),
        sent=[Sent(number, "ask", "entry-0", f"n-{number}", 0.9) for number in (1, 2)],
        got=[got(1), got(2)],
        runs=[run(1), run(2)],
        adopted=[Adopted("entry-0", 1, 0.1)],
        spans=[Span(SpanKind.ACCEPTED, "1", 0.0)],
        accepted=["a"],
        kept=("a",),
        end=10.0,
    )


def lose_outcome(history):
    history.got.pop()


def double_outcome(history):
    history.got.append(got(1))


def mix_up_inputs(history):
    history.runs[0].input = "n-2"


def overload_cold(history):
    history.runs.append(run(3, running=3))


def overload_restarted(history):
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


def answer_another(history):
    history.got[0] = got(1, answered="n-2")


def cut_answer(history):
    history.got[0] = got(1, is_whole=False)


def answer_without_run(history):
    del history.runs[0]


def refuse_after_start(history):
    history.got[0] = got(1, code=3003, ran="no")


def run_twice(history):
    history.runs += [run(1, "record"), run(1, "record", request="r9")]


def run_on_leaving(history):
    history.spans.append(Span(SpanKind.LEAVING, "model-0", 0.5))
    history.runs.append(run(3, at=2.6))


def cut_caller(history):
    history.spans.append(Span(SpanKind.PLANNED_STOP, "entry-0", 1.5))
    history.got[0] = got(1, cut=True)


def cut_run(history):
    history.spans.append(Span(SpanKind.PLANNED_STOP, "model-0", 1.05))
    history.runs[0].completed = False


def revert(history):
    history.adopted += [Adopted("entry-0", 2, 1.0), Adopted("entry-0", 1, 2.0)]


def lack_revision(history):
    history.spans.append(Span(SpanKind.ACCEPTED, "2", 1.0))


def overwrite(history):
    history.accepted.append("b")


BREAKAGES = {
    lose_outcome: "stage results",
    double_outcome: "stage results",
    mix_up_inputs: "stage results",
    overload_cold: "cold start",
    overload_restarted: "cold start",
    run_in_data_centre_out: "data centre out",
    run_vetoed: "bad version",
    give_bad_version_a_large_share: "bad version",
    answer_another: "whole answers",
    cut_answer: "whole answers",
    answer_without_run: "whole answers",
    refuse_after_start: "not run",
    run_twice: "at most once",
    run_on_leaving: "leaving upstream",
    cut_caller: "planned stop",
    cut_run: "planned stop",
    revert: "configuration",
    lack_revision: "configuration",
    overwrite: "configuration",
}


def test_good_history_has_no_violation(history):
    assert check_history(history) == []


@pytest.mark.parametrize("breakage", BREAKAGES)
def test_broken_promise_is_found(history, breakage):
    breakage(history)
    promises = {violation.promise for violation in check_history(history)}
    assert BREAKAGES[breakage] in promises


def test_each_promise_has_a_breakage():
    assert len(CHECKS) == len(set(BREAKAGES.values())) == 10
