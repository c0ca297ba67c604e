"""Stored claim of one unit."""

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["ClaimRecord", "ClaimState"]


class ClaimState(IntEnum):
    """State of a claim: CLAIMED, then exactly one of the others."""

    CLAIMED = 1
    RELEASED = 2
    DONE = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Claimant of a unit, digest of its request body, and outcome.

    `token` is the id of the claimant's request. `claimed_at` is Unix time. The
    answer is inline or, if it is large, stored under `answer_key`; a DONE claim
    with neither had an answer that was too large to keep.
    """

    token: str
    body: bytes
    state: ClaimState
    claimed_at: float
    answer: bytes | None = None
    answer_key: str = ""
