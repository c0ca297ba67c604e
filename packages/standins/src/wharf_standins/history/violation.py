"""A promise that a history shows broken."""

from dataclasses import dataclass

__all__ = ["Violation"]


@dataclass(frozen=True, slots=True)
class Violation:
    """Name the promise and what was seen."""

    promise: str
    detail: str

    def __str__(self):
        return f"{self.promise}: {self.detail}"
