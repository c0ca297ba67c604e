"""One fault of a settings or configuration file."""

from dataclasses import dataclass

__all__ = ["Fault"]


@dataclass(frozen=True, slots=True)
class Fault:
    """Where a fault is (file, and line or key) and what was expected."""

    file: str
    place: str
    expected: str

    def __str__(self):
        return f"{self.file}: {self.place}: {self.expected}"
