"""A piece in the queue or in a call."""

from dataclasses import dataclass, field
from typing import Any

from wharf_gateway.model.piece import Piece
from wharf_gateway.stages.piece_group import PieceGroup

__all__ = ["PieceJob"]

# After one lost call a retry in the usual company costs no extra call, and it is mostly
# answered: upstreams crash for other reasons than a piece.
SUSPECT_LOST_CALLS = 2


@dataclass(slots=True, eq=False)
class PieceJob:
    """A piece with its deadlines, its priority and its callback.

    `soft_deadline` is the loop's time by which the piece must end for its request to
    be on time, `hard_deadline` that after which its result is useless. A lower
    `priority` is more urgent. `seconds` is the expected time that the piece adds to
    a call. `on_result(result)` is called once. `group` is shared with the other
    pieces of the step. `lost_calls` counts calls with the piece that ended without an
    answer.
    """

    piece: Piece
    priority: int
    soft_deadline: float
    hard_deadline: float
    seconds: float
    result_bytes: int
    on_result: Any
    group: PieceGroup = field(default_factory=PieceGroup)
    attempts: int = 0
    lost_calls: int = 0
    is_done: bool = field(default=False)

    @property
    def is_suspect(self):
        """Return whether the piece may be what ended its calls."""
        return self.lost_calls >= SUSPECT_LOST_CALLS

    def finish(self, result):
        """Report the result, unless the job is done already."""
        if not self.is_done:
            self.is_done = True
            self.on_result(result)
