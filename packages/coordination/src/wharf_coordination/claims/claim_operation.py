"""Operations on the claims of one shard.

Each is idempotent, so it can be retried after a lost response: a retry is recognised
by the token of the claimant. All but `Claim` also write the claim again if the store
has lost it; `body` is the digest of its request.
"""

from dataclasses import dataclass

__all__ = ["Claim", "ClaimOperation", "Finish", "GiveUp", "Hold", "Release"]


@dataclass(frozen=True, slots=True)
class Claim:
    """Request the right to run a unit."""

    digest: bytes
    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Hold:
    """State that the claimant still has the right to run a unit."""

    digest: bytes
    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """Record the answer of a claimed unit, inline or stored under `answer_key`."""

    digest: bytes
    token: str
    body: bytes
    answer: bytes | None
    answer_key: str = ""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Record that it can't be determined whether a claimed unit ran."""

    digest: bytes
    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Release:
    """Release the claim of a unit that certainly did not run."""

    digest: bytes
    token: str
    body: bytes


ClaimOperation = Claim | Hold | Finish | GiveUp | Release
