"""Outcomes of operations on claims."""

from dataclasses import dataclass

__all__ = [
    "Applied",
    "ClaimOutcome",
    "Full",
    "Granted",
    "InProgress",
    "KeyExpired",
    "KeyReused",
    "OutcomeUnknown",
    "Recorded",
    "Superseded",
]


@dataclass(frozen=True, slots=True)
class Granted:
    """The claimant has the exclusive right to run the unit."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another request holds the claim."""

    token: str


@dataclass(frozen=True, slots=True)
class Recorded:
    """The unit has run; its answer is inline, stored under a key, or was not kept."""

    answer: bytes | None
    answer_key: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The unit may have run; whether it did can't be determined."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used before with a different body."""


@dataclass(frozen=True, slots=True)
class KeyExpired:
    """The claim of the key is past its retention and no longer kept."""


@dataclass(frozen=True, slots=True)
class Full:
    """The shard has no space for another claim."""


@dataclass(frozen=True, slots=True)
class Applied:
    """The end of the claim is recorded."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """The claim belongs to another token or has already ended otherwise."""


ClaimOutcome = (
    Granted
    | InProgress
    | Recorded
    | OutcomeUnknown
    | KeyReused
    | KeyExpired
    | Full
    | Applied
    | Superseded
)
