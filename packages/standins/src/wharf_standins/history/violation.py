"""Violation of a guarantee, as a history shows it."""

from dataclasses import dataclass

__all__ = ["Violation"]


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee and the evidence for it."""

    guarantee: str
    detail: str

    def __str__(self):
        return f"{self.guarantee}: {self.detail}"
