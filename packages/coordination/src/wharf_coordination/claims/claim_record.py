"""The claim of one unit as the store keeps it."""

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["ClaimRecord", "ClaimState"]


class ClaimState(IntEnum):
    """Life of a claim: claimed, then exactly one of the others."""

    CLAIMED = 1
    RELEASED = 2
    DONE = 3
    UNKNOWN = 4


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Who claimed a unit, for which body, and how that ended.

    `token` is the id of the claimant's request. `claimed_at` is Unix time. The
    answer is inline, or under `answer_key` when it is large; a done claim with
    neither had an answer too large to keep.
    """

    token: str
    body: bytes
    state: ClaimState
    claimed_at: float
    answer: bytes | None = None
    answer_key: str = ""
