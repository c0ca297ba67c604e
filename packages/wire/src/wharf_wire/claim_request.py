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
    Release,
)
from wharf_wire.fields import Count, Name

__all__ = ["ClaimRequest"]

MAX_DIGEST_BYTES = 64
MAX_ANSWER_BYTES = 4096

_Digest = Annotated[bytes, Field(max_length=MAX_DIGEST_BYTES)]
_Answer = Annotated[bytes, Field(max_length=MAX_ANSWER_BYTES)]


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request a sidecar to apply `operation` to the claim with `digest`.

    `body` is the digest of the request's body in a claim or release. `answer` and
    `answer_key` are used by a finish only.
    """

    id: Name
    shard: Count
    bucket: int
    operation: Literal["claim", "finish", "give_up", "release"]
    digest: _Digest
    token: Name
    body: _Digest = b""
    answer: _Answer | None = None
    answer_key: Name = ""
    kind: Literal["claim_request"] = "claim_request"

    @classmethod
    def from_operation(cls, id, place: ClaimPlace, operation: ClaimOperation):
        """Return the message that carries `operation`."""
        common_fields = (operation.digest, operation.token)
        match operation:
            case Claim(body=body):
                return cls(id, place.shard, place.bucket, "claim", *common_fields, body)
            case Release(body=body):
                return cls(
                    id, place.shard, place.bucket, "release", *common_fields, body
                )
            case GiveUp():
                return cls(id, place.shard, place.bucket, "give_up", *common_fields)
            case Finish(answer=answer, answer_key=answer_key):
                return cls(
                    id,
                    place.shard,
                    place.bucket,
                    "finish",
                    *common_fields,
                    answer=answer,
                    answer_key=answer_key,
                )

    @property
    def place(self) -> ClaimPlace:
        """Return the shard and bucket that hold the claim."""
        return ClaimPlace(self.shard, self.bucket)

    def to_operation(self) -> ClaimOperation:
        """Return the operation that this message carries."""
        match self.operation:
            case "claim":
                return Claim(self.digest, self.token, self.body)
            case "release":
                return Release(self.digest, self.token, self.body)
            case "give_up":
                return GiveUp(self.digest, self.token)
            case "finish":
                return Finish(self.digest, self.token, self.answer, self.answer_key)
