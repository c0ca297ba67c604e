"""The order of pieces, and the space that they need to start."""

from wharf_gateway.stages.piece_group import PieceGroup
from wharf_gateway.stages.piece_queue import PieceQueue


def _queue(*jobs):
    queue = PieceQueue()
    for job in jobs:
        queue.push(job)
    return queue


def _names(batch):
    return [job.piece.call_id for job in batch]


def test_pieces_that_can_be_on_time_precede_late_ones(make_job):
    queue = _queue(make_job("late", 0.1), make_job("soon", 2.0), make_job("next", 1.0))

    assert _names(queue.pop_batch(2, 100, 0.2, 0.0)) == ["next", "soon"]
    assert _names(queue.pop_batch(2, 100, 0.2, 0.0)) == ["late"]


def test_step_starts_only_with_space_for_all_its_results(make_job):
    """Two half-finished steps that wait for space would block each other."""
    first, second = PieceGroup(), PieceGroup()
    queue = _queue(
        *(make_job("first", 1.0, group=first, size=30) for _ in range(2)),
        *(make_job("second", 2.0, group=second, size=30) for _ in range(2)),
    )

    assert _names(queue.pop_batch(4, 100, 0.2, 0.0)) == ["first", "first"]
    assert not second.is_started


def test_started_step_precedes_one_with_an_earlier_deadline(make_job):
    begun = PieceGroup(is_started=True)
    queue = _queue(make_job("soon", 1.0), make_job("begun", 5.0, group=begun))

    assert _names(queue.pop_batch(1, 100, 0.2, 0.0)) == ["begun"]


def test_only_tiny_results_overtake_one_that_waits_for_space(make_job):
    queue = _queue(
        make_job("large", 1.0, size=640),
        make_job("middling", 2.0, size=50),
        make_job("tiny", 3.0, size=10),
    )

    assert _names(queue.pop_batch(4, 100, 0.2, 0.0)) == ["tiny"]


def test_expired_pieces_are_removed(make_job):
    queue = _queue(make_job("a", 0.1, hard_deadline=0.5), make_job("b", 0.1))

    assert _names(queue.remove_expired(0.2, 0.4)) == ["a"]
    assert len(queue) == 1
