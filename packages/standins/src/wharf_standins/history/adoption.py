"""Adoption of a configuration by a process."""

from dataclasses import dataclass

__all__ = ["Adoption"]


@dataclass(frozen=True, slots=True)
class Adoption:
    """A process made `revision` its current configuration at `at` seconds."""

    process: str
    revision: int
    at: float
