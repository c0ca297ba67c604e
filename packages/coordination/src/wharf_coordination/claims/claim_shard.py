"""Claims of one shard and bucket, and their state transitions."""

from dataclasses import dataclass, field, replace

from wharf_coordination.claims.claim_operation import (
    Claim,
    ClaimOperation,
    Finish,
    GiveUp,
    Release,
)
from wharf_coordination.claims.claim_outcome import (
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
from wharf_coordination.claims.claim_record import ClaimRecord, ClaimState

__all__ = ["MAX_INLINE_ANSWER_BYTES", "ClaimShard"]

MAX_SHARD_BYTES = 900 << 10
MAX_INLINE_ANSWER_BYTES = 1 << 10
RECORD_BYTES = 160
SPENT_BYTES = 18


@dataclass(slots=True)
class ClaimShard:
    """Apply operations to the claims in one stored object, keyed by unit digest.

    `spent` holds the digests of undated units whose record was dropped; they never
    run again. Safety depends on the store replacing the object only if its version
    is still the one from which this state was read. `size` is an upper bound of the
    encoded bytes, including space for pending answers.
    """

    record_by_digest: dict[bytes, ClaimRecord] = field(default_factory=dict)
    spent: set[bytes] = field(default_factory=set)
    max_bytes: int = MAX_SHARD_BYTES
    is_changed: bool = False
    size: int = 0

    def __post_init__(self):
        records = sum(map(_record_size, self.record_by_digest.values()))
        self.size = records + SPENT_BYTES * len(self.spent)

    def apply(self, operation: ClaimOperation, now) -> ClaimOutcome:
        """Apply `operation` at the Unix time `now`; return its outcome."""
        record = self.record_by_digest.get(operation.digest)
        match operation:
            case Claim():
                return self._claim(operation, record, now)
            case Finish(answer=answer, answer_key=answer_key):
                changes = {
                    "state": ClaimState.DONE,
                    "answer": answer,
                    "answer_key": answer_key,
                }
                return self._end(operation, record, changes)
            case GiveUp():
                return self._end(operation, record, {"state": ClaimState.UNKNOWN})
            case Release():
                return self._release(operation, record, now)

    def drop_expired(self, now, retention):
        """Reduce claims older than `retention` seconds to their digests."""
        expired = [
            digest
            for digest, record in self.record_by_digest.items()
            if record.claimed_at + retention < now
        ]
        for digest in expired:
            self.size += SPENT_BYTES - _record_size(self.record_by_digest.pop(digest))
        self.spent.update(expired)
        self.is_changed |= bool(expired)

    def _claim(self, claim, record, now):
        if claim.digest in self.spent:
            return KeyExpired()
        if record is None:
            return self._grant(claim, now)
        if record.body != claim.body:
            return KeyReused()
        match record.state:
            case ClaimState.CLAIMED if record.token == claim.token:
                return Granted()
            case ClaimState.CLAIMED:
                return InProgress(record.token)
            case ClaimState.RELEASED if record.token == claim.token:
                return Superseded()
            case ClaimState.RELEASED:
                return self._grant(claim, now)
            case ClaimState.DONE:
                return Recorded(record.answer, record.answer_key)
            case ClaimState.UNKNOWN:
                return OutcomeUnknown()

    def _grant(self, claim, now):
        record = ClaimRecord(claim.token, claim.body, ClaimState.CLAIMED, now)
        if self.size + _record_size(record) > self.max_bytes:
            return Full()
        self._put(claim.digest, record)
        return Granted()

    def _end(self, operation, record, changes):
        if record is None or record.token != operation.token:
            return Superseded()
        if record.state == changes["state"]:
            return Applied()
        if record.state is not ClaimState.CLAIMED:
            return Superseded()
        self._put(operation.digest, replace(record, **changes))
        return Applied()

    def _release(self, release, record, now):
        if record is None and release.digest not in self.spent:
            # The write of the claim may still be in flight; this record makes it fail.
            record = ClaimRecord(release.token, release.body, ClaimState.RELEASED, now)
            self._put(release.digest, record)
            return Applied()
        return self._end(release, record, {"state": ClaimState.RELEASED})

    def _put(self, digest, record):
        replaced = self.record_by_digest.get(digest)
        self.size += _record_size(record) - (_record_size(replaced) if replaced else 0)
        self.record_by_digest[digest] = record
        self.is_changed = True


def _record_size(record):
    if record.state is ClaimState.CLAIMED:
        return RECORD_BYTES + MAX_INLINE_ANSWER_BYTES
    return RECORD_BYTES + len(record.answer or b"") + len(record.answer_key)
