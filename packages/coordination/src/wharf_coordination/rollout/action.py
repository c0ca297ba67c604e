"""What the driver of a rollout should do next."""

from dataclasses import dataclass

__all__ = ["Action", "Advance", "Finish", "TakeBack", "Wait"]


@dataclass(frozen=True, slots=True)
class Wait:
    """Leave the record as it is."""


@dataclass(frozen=True, slots=True)
class Advance:
    """Write that the next step has begun."""

    step: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Write the terminal record that moves all traffic to the new version."""


@dataclass(frozen=True, slots=True)
class TakeBack:
    """Write the terminal record that leaves all traffic on the old version."""

    reason: str


Action = Wait | Advance | Finish | TakeBack
