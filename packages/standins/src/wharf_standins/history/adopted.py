"""A configuration that a process put in force."""

from dataclasses import dataclass

__all__ = ["Adopted"]


@dataclass(frozen=True, slots=True)
class Adopted:
    """A process put `revision` in force at `at` seconds."""

    process: str
    revision: int
    at: float
