"""Outcome of a claim operation, from a sidecar to an entry."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from wharf_coordination.claims import (
    Applied,
    ClaimOutcome,
    Full,
    Granted,
    InProgress,
    KeyExpired,
    KeyReused,
    OutcomeUnknown,
    Recorded,
    Superseded,
)
from wharf_wire.claim_request import MAX_ANSWER_BYTES
from wharf_wire.fields import Name

__all__ = ["NOT_WRITTEN", "ClaimReply"]

NOT_WRITTEN = "not_written"

_OUTCOME_BY_NAME = {
    "applied": Applied(),
    "full": Full(),
    "granted": Granted(),
    "key_expired": KeyExpired(),
    "key_reused": KeyReused(),
    "outcome_unknown": OutcomeUnknown(),
    "superseded": Superseded(),
}
_NAME_BY_OUTCOME = {outcome: name for name, outcome in _OUTCOME_BY_NAME.items()}


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Carry the outcome of a claim operation.

    "not_written" means that the store has certainly not applied the operation. A
    write that may have happened gets no reply; the entry then checks itself.
    """

    id: Name
    outcome: Literal[
        "applied",
        "full",
        "granted",
        "in_progress",
        "key_expired",
        "key_reused",
        "not_written",
        "outcome_unknown",
        "recorded",
        "superseded",
    ]
    token: Name = ""
    answer: Annotated[bytes, Field(max_length=MAX_ANSWER_BYTES)] | None = None
    answer_key: Name = ""
    kind: Literal["claim_reply"] = "claim_reply"

    @classmethod
    def from_outcome(cls, id, outcome: ClaimOutcome):
        """Return the message that carries `outcome`."""
        match outcome:
            case InProgress(token=token):
                return cls(id, "in_progress", token=token)
            case Recorded(answer=answer, answer_key=key):
                return cls(id, "recorded", answer=answer, answer_key=key)
            case other:
                return cls(id, _NAME_BY_OUTCOME[other])

    def to_outcome(self) -> ClaimOutcome | None:
        """Return the outcome, or None if nothing was written."""
        match self.outcome:
            case "in_progress":
                return InProgress(self.token)
            case "recorded":
                return Recorded(self.answer, self.answer_key)
            case name:
                return _OUTCOME_BY_NAME.get(name)
