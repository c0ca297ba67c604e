"""Unit of work that runs at most once."""

import json
from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["DIGEST_BYTES", "ClaimUnit", "body_digest"]

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class ClaimUnit:
    """One stage of one request, which its caller identifies by `key`."""

    customer: str
    pipeline: str
    key: str
    stage: str

    @property
    def digest(self) -> bytes:
        """Return the id of the unit; callers can't provoke collisions.

        >>> ClaimUnit("a", "b", "c", "d").digest == ClaimUnit("a", "bc", "", "d").digest
        False
        """
        fields = [self.customer, self.pipeline, self.key, self.stage]
        return _digest(json.dumps(fields).encode())


def body_digest(body) -> bytes:
    """Return the digest that detects reuse of a key with a different body."""
    return _digest(body)


def _digest(data):
    return blake2b(data, digest_size=DIGEST_BYTES).digest()
