"""Location of a setting in a file."""

from dataclasses import dataclass

__all__ = ["Location"]


@dataclass(frozen=True, slots=True)
class Location:
    """A line of a file, counted from 1."""

    file: str
    line: int
