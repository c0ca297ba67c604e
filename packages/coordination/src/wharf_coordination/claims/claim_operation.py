"""Operations on the claims of one shard.

Each is idempotent, so it can be retried after a lost response: a retry is recognised
by the token of the claimant.
"""

from dataclasses import dataclass

__all__ = ["Claim", "ClaimOperation", "Finish", "GiveUp", "Release"]


@dataclass(frozen=True, slots=True)
class Claim:
    """Request the right to run a unit; `body` is the digest of the request."""

    digest: bytes
    token: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Finish:
    """Record the answer of a claimed unit, inline or stored under `answer_key`."""

    digest: bytes
    token: str
    answer: bytes | None
    answer_key: str = ""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Record that it can't be determined whether a claimed unit ran."""

    digest: bytes
    token: str


@dataclass(frozen=True, slots=True)
class Release:
    """Release the claim of a unit that certainly did not run."""

    digest: bytes
    token: str
    body: bytes


ClaimOperation = Claim | Finish | GiveUp | Release
