"""An operation on a claim, from an entry to the sidecar that writes its shard."""

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
    """Ask a sidecar to apply `operation` where the claim is kept.

    `body` is the digest of a claim's or release's request; the answer belongs to
    a finish.
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
    def of(cls, id, place: ClaimPlace, operation: ClaimOperation):
        """Return the message that carries `operation`."""
        shared = (operation.digest, operation.token)
        match operation:
            case Claim(body=body):
                return cls(id, place.shard, place.bucket, "claim", *shared, body)
            case Release(body=body):
                return cls(id, place.shard, place.bucket, "release", *shared, body)
            case GiveUp():
                return cls(id, place.shard, place.bucket, "give_up", *shared)
            case Finish(answer=answer, answer_key=answer_key):
                return cls(
                    id,
                    place.shard,
                    place.bucket,
                    "finish",
                    *shared,
                    answer=answer,
                    answer_key=answer_key,
                )

    @property
    def place(self) -> ClaimPlace:
        """Return where the claim is kept."""
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
