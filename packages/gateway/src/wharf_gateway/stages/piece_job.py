"""A piece that waits for its turn."""

from dataclasses import dataclass, field
from typing import Any

from wharf_gateway.model.piece import Piece

__all__ = ["PieceJob"]


@dataclass(slots=True, eq=False)
class PieceJob:
    """A piece, its rank and what to tell when it is over.

    `on_time_by` is the loop's time by which it must end if its request is to be on
    time, `useful_until` that after which its result is of no use. `seconds` is what
    it takes beside the call's own time. `done(result)` is called once. `near` is the data centre where the
    result is wanted.
    """

    piece: Piece
    priority: int
    on_time_by: float
    useful_until: float
    seconds: float
    result_bytes: int
    done: Any
    near: str = ""
    queued_at: float = 0.0
    tries: int = 0
    is_over: bool = field(default=False)

    def finish(self, result):
        """Tell the result, once."""
        if not self.is_over:
            self.is_over = True
            self.done(result)
