"""Next change of a rollout's record, as decided by the driver."""

from dataclasses import dataclass

__all__ = ["Action", "Advance", "Finish", "TakeBack", "Wait"]


@dataclass(frozen=True, slots=True)
class Wait:
    """Don't change the record."""


@dataclass(frozen=True, slots=True)
class Advance:
    """Write that `step` has begun."""

    step: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Write the terminal record that moves all traffic to the new version."""


@dataclass(frozen=True, slots=True)
class TakeBack:
    """Write the terminal record that leaves all traffic on the old version."""

    reason: str


Action = Wait | Advance | Finish | TakeBack
