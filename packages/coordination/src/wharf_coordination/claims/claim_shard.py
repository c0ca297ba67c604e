"""Claims of one shard and bucket, and their state transitions."""

from copy import copy
from dataclasses import dataclass, field, replace

from wharf_coordination.claims.claim_operation import (
    Claim,
    ClaimOperation,
    Finish,
    GiveUp,
    Hold,
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

# A unit runs once at most, so a record of its answer is true whoever's it is.
CERTAINTY = {
    ClaimState.RELEASED: 0,
    ClaimState.CLAIMED: 1,
    ClaimState.UNKNOWN: 2,
    ClaimState.DONE: 3,
}


@dataclass(slots=True)
class ClaimShard:
    """Apply operations to the claims in one stored object, keyed by unit digest.

    `spent` holds the digests of undated units whose record was dropped; they never
    run again. Safety depends on the store replacing the object only if its version
    is still the one from which this state was read. `size` is an upper bound of the
    encoded bytes, including space for pending answers.

    If `may_have_lost`, the store may have lost claims that were acknowledged. A unit
    without a record may then have run, so none is granted, and the operations that
    end claims write lost ones again.
    """

    record_by_digest: dict[bytes, ClaimRecord] = field(default_factory=dict)
    spent: set[bytes] = field(default_factory=set)
    max_bytes: int = MAX_SHARD_BYTES
    may_have_lost: bool = False
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
            case Hold():
                return self._end(operation, record, ClaimState.CLAIMED, now)
            case Finish(answer=answer, answer_key=answer_key):
                answers = {"answer": answer, "answer_key": answer_key}
                return self._end(operation, record, ClaimState.DONE, now, **answers)
            case GiveUp():
                return self._end(operation, record, ClaimState.UNKNOWN, now)
            case Release():
                return self._release(operation, record, now)

    def copy(self):
        """Return a copy that changes independently."""
        other = copy(self)
        other.record_by_digest = dict(self.record_by_digest)
        other.spent = set(self.spent)
        other.is_changed = False
        return other

    def carry_over(self, former):
        """Add what is known from `former`, the claims of an earlier era.

        That a claim had been released says nothing: the unit may have been claimed
        again since.
        """
        for digest, record in former.record_by_digest.items():
            if record.state is not ClaimState.RELEASED and digest not in self.spent:
                self._restate(digest, record)
        lost = former.spent - self.spent
        self.spent |= lost
        self.size += SPENT_BYTES * len(lost)
        self.is_changed |= bool(lost)

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
                # The record may be a late write, after another's claim was lost.
                return OutcomeUnknown() if self.may_have_lost else Granted()
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
        if self.may_have_lost:
            return OutcomeUnknown()
        record = ClaimRecord(claim.token, claim.body, ClaimState.CLAIMED, now)
        if self.size + _record_size(record) > self.max_bytes:
            return Full()
        self._put(claim.digest, record)
        return Granted()

    def _end(self, operation, record, state, now, **answers):
        is_spent = operation.digest in self.spent
        if self.may_have_lost and operation.body and not is_spent:
            body, token = operation.body, operation.token
            lost = ClaimRecord(token, body, state, now, **answers)
            if self._restate(operation.digest, lost):
                return Applied()
            record = self.record_by_digest.get(operation.digest)
        if record is None or record.token != operation.token:
            return Superseded()
        if record.state == state:
            return Applied()
        if record.state is not ClaimState.CLAIMED:
            return Superseded()
        self._put(operation.digest, replace(record, state=state, **answers))
        return Applied()

    def _release(self, release, record, now):
        if self.may_have_lost:
            # Another may have claimed the unit after this claim was released.
            if record is not None and record.token != release.token:
                return Superseded()
            return self._end(release, record, ClaimState.UNKNOWN, now)
        if record is None and release.digest not in self.spent:
            # The write of the claim may still be in flight; this record makes it fail.
            record = ClaimRecord(release.token, release.body, ClaimState.RELEASED, now)
            self._put(release.digest, record)
            return Applied()
        return self._end(release, record, ClaimState.RELEASED, now)

    def _restate(self, digest, record):
        present = self.record_by_digest.get(digest)
        if present and CERTAINTY[present.state] >= CERTAINTY[record.state]:
            return False
        present_size = _record_size(present) if present else 0
        if self.size + _record_size(record) - present_size > self.max_bytes:
            return False
        self._put(digest, record)
        return True

    def _put(self, digest, record):
        replaced = self.record_by_digest.get(digest)
        self.size += _record_size(record) - (_record_size(replaced) if replaced else 0)
        self.record_by_digest[digest] = record
        self.is_changed = True


def _record_size(record):
    if record.state is ClaimState.CLAIMED:
        return RECORD_BYTES + MAX_INLINE_ANSWER_BYTES
    return RECORD_BYTES + len(record.answer or b"") + len(record.answer_key)
