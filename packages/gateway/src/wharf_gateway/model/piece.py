"""A piece of a step."""

from dataclasses import dataclass, field

__all__ = ["Piece"]


@dataclass(frozen=True, slots=True)
class Piece:
    """One item of work: its place, its source or inputs.

    `inputs` are handles of results, each beginning with its maker's address.
    """

    call_id: str
    step: int
    index: int
    key: str = ""
    inputs: tuple[str, ...] = ()
    has_inputs: bool = False
    seconds_left: float = field(default=0.0, compare=False)
