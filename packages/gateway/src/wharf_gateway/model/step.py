"""A step that prepares the requests of a route."""

from dataclasses import dataclass

__all__ = ["Step"]


@dataclass(frozen=True, slots=True)
class Step:
    """Work that a service does, split into pieces, before a request can run.

    `after` has the indices of the steps whose results are its inputs; `result_bytes`
    is the usual size of the result of one piece.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int
