"""Operations on the claims of one shard.

Each may be applied again after a lost answer: the claimant's token recognises it.
"""

from dataclasses import dataclass

__all__ = ["Claim", "ClaimOperation", "Finish", "GiveUp", "Release"]


@dataclass(frozen=True, slots=True)
class Claim:
    """Ask for the right to run a unit; `body` is the digest of the request."""

    digest: bytes
    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """Record the answer of a claimed unit, inline or under `answer_key`."""

    digest: bytes
    token: str
    answer: bytes | None
    answer_key: str = ""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Record that it will never be known whether a claimed unit ran."""

    digest: bytes
    token: str


@dataclass(frozen=True, slots=True)
class Release:
    """Free a claimed unit that provably did not run."""

    digest: bytes
    token: str
    body: bytes


ClaimOperation = Claim | Finish | GiveUp | Release
