"""Claim operation, from an entry to the sidecar that writes the shard."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from wharf_coordination.claims import (
    Claim,
    ClaimOperation,
    ClaimPlace,
    Finish,
    GiveUp,
    Hold,
    Release,
)
from wharf_wire.fields import Count, Name

__all__ = ["ClaimRequest"]

MAX_DIGEST_BYTES = 64
MAX_ANSWER_BYTES = 4096

_TYPE_BY_NAME = {
    "claim": Claim,
    "finish": Finish,
    "give_up": GiveUp,
    "hold": Hold,
    "release": Release,
}
_NAME_BY_TYPE = {type: name for name, type in _TYPE_BY_NAME.items()}

_Digest = Annotated[bytes, Field(max_length=MAX_DIGEST_BYTES)]
_Answer = Annotated[bytes, Field(max_length=MAX_ANSWER_BYTES)]


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request a sidecar to apply `operation` to the claim with `digest`.

    `body` is the digest of the request's body. `answer` and `answer_key` are used by
    a finish only.
    """

    id: Name
    shard: Count
    bucket: int
    operation: Literal["claim", "finish", "give_up", "hold", "release"]
    digest: _Digest
    token: Name
    body: _Digest = b""
    answer: _Answer | None = None
    answer_key: Name = ""
    kind: Literal["claim_request"] = "claim_request"

    @classmethod
    def from_operation(cls, id, place: ClaimPlace, operation: ClaimOperation):
        """Return the message that carries `operation`."""
        name = _NAME_BY_TYPE[type(operation)]
        answer = getattr(operation, "answer", None)
        answer_key = getattr(operation, "answer_key", "")
        return cls(
            id,
            place.shard,
            place.bucket,
            name,
            operation.digest,
            operation.token,
            operation.body,
            answer,
            answer_key,
        )

    @property
    def place(self) -> ClaimPlace:
        """Return the shard and bucket that hold the claim."""
        return ClaimPlace(self.shard, self.bucket)

    def to_operation(self) -> ClaimOperation:
        """Return the operation that this message carries."""
        claim = (self.digest, self.token, self.body)
        if self.operation == "finish":
            return Finish(*claim, self.answer, self.answer_key)
        return _TYPE_BY_NAME[self.operation](*claim)
