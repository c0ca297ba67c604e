"""The order of pieces, and what room lets begin."""

from wharf_gateway.stages.piece_group import PieceGroup
from wharf_gateway.stages.piece_queue import PieceQueue


def _queue(*jobs):
    queue = PieceQueue()
    for job in jobs:
        queue.push(job)
    return queue


def _names(batch):
    return [job.piece.call_id for job in batch]


def test_pieces_that_can_be_on_time_go_before_late_ones(make_job):
    queue = _queue(make_job("late", 0.1), make_job("soon", 2.0), make_job("next", 1.0))

    assert _names(queue.take(2, 100, 0.2, 0.0)) == ["next", "soon"]
    assert _names(queue.take(2, 100, 0.2, 0.0)) == ["late"]


def test_a_step_begins_only_with_room_for_all_its_results(make_job):
    """Two steps that are half done would keep the room from each other."""
    first, second = PieceGroup(), PieceGroup()
    queue = _queue(
        *(make_job("first", 1.0, group=first, size=30) for _ in range(2)),
        *(make_job("second", 2.0, group=second, size=30) for _ in range(2)),
    )

    assert _names(queue.take(4, 100, 0.2, 0.0)) == ["first", "first"]
    assert not second.is_begun


def test_a_step_that_is_begun_goes_on_before_one_that_is_due_sooner(make_job):
    begun = PieceGroup(is_begun=True)
    queue = _queue(make_job("soon", 1.0), make_job("begun", 5.0, group=begun))

    assert _names(queue.take(1, 100, 0.2, 0.0)) == ["begun"]


def test_only_tiny_results_pass_one_that_waits_for_room(make_job):
    queue = _queue(
        make_job("large", 1.0, size=640),
        make_job("middling", 2.0, size=50),
        make_job("tiny", 3.0, size=10),
    )

    assert _names(queue.take(4, 100, 0.2, 0.0)) == ["tiny"]


def test_pieces_that_cannot_be_of_use_are_dropped_before_they_run(make_job):
    queue = _queue(make_job("a", 0.1, hard_deadline=0.5), make_job("b", 0.1))

    assert _names(queue.drop_useless(0.2, 0.4)) == ["a"]
    assert len(queue) == 1
