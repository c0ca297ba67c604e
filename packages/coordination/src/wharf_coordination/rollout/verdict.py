"""Verdict on a new version."""

from dataclasses import dataclass

__all__ = ["Bad", "Good", "Undecided", "Verdict"]


@dataclass(frozen=True, slots=True)
class Good:
    """There is enough evidence, and the new version is not found worse."""


@dataclass(frozen=True, slots=True)
class Bad:
    """The new version is worse than the old one."""

    reason: str


@dataclass(frozen=True, slots=True)
class Undecided:
    """There is too little evidence; `missing` describes what is lacking.

    `is_suspected` says that the evidence points to a bad version.
    """

    missing: str
    is_suspected: bool = False


Verdict = Good | Bad | Undecided
