"""A piece of a step, the unit of work that upstreams run in batches."""

from dataclasses import dataclass, field

__all__ = ["Piece"]


@dataclass(frozen=True, slots=True)
class Piece:
    """A unit of work, with its position in the request and its source or inputs.

    `call_id` is that of the request, `index` the position within the step. `key`
    identifies the source of a piece of a first step; other pieces have `inputs`, the
    handles of results, each starting with the address of the upstream that holds it.
    """

    call_id: str
    step: int
    index: int
    key: str = ""
    inputs: tuple[str, ...] = ()
    has_inputs: bool = False
    seconds_left: float = field(default=0.0, compare=False)
