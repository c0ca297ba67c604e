"""The pieces of one step of one request."""

from dataclasses import dataclass

__all__ = ["PieceGroup"]


@dataclass(slots=True, eq=False)
class PieceGroup:
    """State that the pieces of a step share.

    `preferred_data_centre` is where they should run, close to their inputs or to the
    consumer of their results; empty means anywhere. `is_started` says whether at
    least one of them has been sent.
    """

    preferred_data_centre: str = ""
    is_started: bool = False
