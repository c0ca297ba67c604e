"""A preparing step of a route."""

from dataclasses import dataclass

__all__ = ["Step"]


@dataclass(frozen=True, slots=True)
class Step:
    """Work in pieces that a service does before a request can run.

    `after` are the indices of the steps whose results it needs, `result_bytes` is
    the usual size of one piece's result.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: int
