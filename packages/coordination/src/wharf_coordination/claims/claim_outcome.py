"""What an operation on a claim came to."""

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
    """The claimant, and nobody else, may run the unit."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another request holds the claim."""

    token: str


@dataclass(frozen=True, slots=True)
class Recorded:
    """The unit has run; its answer is inline, under a key, or was not kept."""

    answer: bytes | None
    answer_key: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The unit may have run, and nobody will know."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used before with another body."""


@dataclass(frozen=True, slots=True)
class KeyExpired:
    """The claims of the key's time are no longer kept."""


@dataclass(frozen=True, slots=True)
class Full:
    """The shard has no room for one more claim."""


@dataclass(frozen=True, slots=True)
class Applied:
    """The end of the claim is recorded."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """The claim is no longer the operation's to change."""


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
