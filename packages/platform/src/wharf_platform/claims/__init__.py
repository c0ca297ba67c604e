"""Claims on non-idempotent stages, kept in the platform's store."""

from wharf_platform.claims.claim_codec import decode_shard, encode_shard
from wharf_platform.claims.claim_purger import ClaimPurger
from wharf_platform.claims.claim_recorder import ClaimRecorder
from wharf_platform.claims.claim_store import ClaimStore
from wharf_platform.claims.shard_writer import ShardWriter

__all__ = [
    "ClaimRecorder",
    "ClaimStore",
    "ClaimPurger",
    "ShardWriter",
    "decode_shard",
    "encode_shard",
]
