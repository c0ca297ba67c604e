"""A piece that waits for its turn."""

from dataclasses import dataclass, field
from typing import Any

from wharf_gateway.model.piece import Piece
from wharf_gateway.stages.piece_group import PieceGroup

__all__ = ["PieceJob"]


@dataclass(slots=True, eq=False)
class PieceJob:
    """A piece, its rank and what to tell when it is over.

    `soft_deadline` is the loop's time by which it must end if its request is to be on
    time, `hard_deadline` that after which its result is of no use. `seconds` is what
    it takes beside the call's own time. `done(result)` is called once. `group` is
    shared with the other pieces of the step.
    """

    piece: Piece
    priority: int
    soft_deadline: float
    hard_deadline: float
    seconds: float
    result_bytes: int
    done: Any
    group: PieceGroup = field(default_factory=PieceGroup)
    tries: int = 0
    is_over: bool = field(default=False)

    def finish(self, result):
        """Tell the result, once."""
        if not self.is_over:
            self.is_over = True
            self.done(result)
