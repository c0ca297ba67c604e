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


def test_independent_steps_start_last():
    """Their results are large and would take up space while the longer chain runs."""
    plan = StepPlan(CHAIN, (2, 1, 4, 10), SECONDS)
    assert plan.startable() == [1]

    plan.started.add(1)
    plan.finished.add(1)
    assert plan.startable() == [2]

    plan.started.add(2)
    plan.finished.add(2)
    assert plan.startable() == [0, 3]


def test_single_independent_step_starts_at_once():
    assert StepPlan((ATTACHMENTS,), (2,), (0.35,)).startable() == [0]


def test_steps_without_pieces_are_finished():
    plan = StepPlan(CHAIN, (0, 1, 4, 10), SECONDS)

    assert plan.finished == {0}
    assert not plan.is_complete


def test_results_are_droppable_when_all_dependents_have_finished():
    plan = StepPlan(CHAIN, (2, 1, 4, 10), SECONDS)
    plan.finished.update((1, 2))
    assert plan.droppable() == [1]

    plan.finished.add(3)
    assert sorted(plan.droppable()) == [1, 2]
