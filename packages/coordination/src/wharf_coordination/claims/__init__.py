"""Claims: exclusive rights to run a stage that must not run twice."""

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
from wharf_coordination.claims.claim_place import (
    BUCKET_SECONDS,
    SHARDS,
    UNDATED,
    ClaimPlace,
    bucket_of,
)
from wharf_coordination.claims.claim_record import ClaimRecord, ClaimState
from wharf_coordination.claims.claim_shard import ClaimShard
from wharf_coordination.claims.claim_unit import ClaimUnit, body_digest
from wharf_coordination.claims.key_date import key_date
from wharf_coordination.claims.retention import Retention
from wharf_coordination.claims.store_era import StoreEra

__all__ = [
    "BUCKET_SECONDS",
    "SHARDS",
    "UNDATED",
    "Applied",
    "Claim",
    "ClaimOperation",
    "ClaimOutcome",
    "ClaimPlace",
    "ClaimRecord",
    "ClaimShard",
    "ClaimState",
    "ClaimUnit",
    "Finish",
    "Full",
    "GiveUp",
    "Granted",
    "Hold",
    "InProgress",
    "KeyExpired",
    "KeyReused",
    "OutcomeUnknown",
    "Recorded",
    "Release",
    "Retention",
    "StoreEra",
    "Superseded",
    "body_digest",
    "bucket_of",
    "key_date",
]
