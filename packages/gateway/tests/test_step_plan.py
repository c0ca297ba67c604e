"""The order of a request's steps."""

from wharf_gateway.model.step import Step
from wharf_gateway.stages.step_plan import StepPlan

ATTACHMENTS = Step("fetch", (), 1_500_000)
CHAIN = (
    ATTACHMENTS,
    Step("fetch", (), 8000),
    Step("encode", (1,), 60_000),
    Step("rank", (2,), 6000),
)
SECONDS = (0.35, 0.3, 0.3, 0.3)


def test_results_that_only_the_engine_needs_are_made_last():
    """They are large, and would take up room while the chain runs."""
    plan = StepPlan(CHAIN, (2, 1, 4, 10), SECONDS)
    assert plan.startable() == [1]

    plan.started.add(1)
    plan.finished.add(1)
    assert plan.startable() == [2]

    plan.started.add(2)
    plan.finished.add(2)
    assert plan.startable() == [0, 3]


def test_a_request_with_such_a_step_alone_starts_it_at_once():
    assert StepPlan((ATTACHMENTS,), (2,), (0.35,)).startable() == [0]


def test_steps_without_pieces_are_over():
    plan = StepPlan(CHAIN, (0, 1, 4, 10), SECONDS)

    assert plan.finished == {0}
    assert not plan.is_complete


def test_results_are_dropped_when_the_steps_that_need_them_have_ended():
    plan = StepPlan(CHAIN, (2, 1, 4, 10), SECONDS)
    plan.finished.update((1, 2))
    assert plan.droppable() == [1]

    plan.finished.add(3)
    assert sorted(plan.droppable()) == [1, 2]
