"""The pieces of one step of one request."""

from dataclasses import dataclass

__all__ = ["PieceGroup"]


@dataclass(slots=True, eq=False)
class PieceGroup:
    """What the pieces of a step share.

    `near` is the data centre in which they should run, for their inputs or their
    results; `is_begun` says whether some of them have been sent.
    """

    near: str = ""
    is_begun: bool = False
