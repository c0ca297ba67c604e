"""What the evidence says about a new version."""

from dataclasses import dataclass

__all__ = ["Bad", "Good", "Undecided", "Verdict"]


@dataclass(frozen=True, slots=True)
class Good:
    """There is enough evidence, and none against the version."""


@dataclass(frozen=True, slots=True)
class Bad:
    """The version is worse than the old one."""

    reason: str


@dataclass(frozen=True, slots=True)
class Undecided:
    """There is too little evidence; `missing` says of what."""

    missing: str


Verdict = Good | Bad | Undecided
