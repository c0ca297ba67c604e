"""CBOR encoding of the claims of one shard."""

import cbor2
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from wharf_coordination.claims import ClaimRecord, ClaimShard, ClaimState

__all__ = ["decode_shard", "encode_shard"]

FORMAT = 1

_Fields = tuple[bytes, str, bytes, int, float, bytes | None, str]
_ADAPTER = TypeAdapter(tuple[int, list[_Fields], list[bytes]])


def encode_shard(shard: ClaimShard) -> bytes:
    """Return `shard` as CBOR bytes.

    >>> decode_shard(encode_shard(ClaimShard(spent={b"x"}))).unwrap().spent
    {b'x'}
    """
    records = [
        (
            digest,
            record.token,
            record.body,
            int(record.state),
            record.claimed_at,
            record.answer,
            record.answer_key,
        )
        for digest, record in shard.record_by_digest.items()
    ]
    return cbor2.dumps((FORMAT, records, sorted(shard.spent)))


def decode_shard(value) -> Result[ClaimShard, str]:
    """Return the shard encoded in `value`, or an empty one for an absent object."""
    if not value:
        return Ok(ClaimShard())
    try:
        version, records, spent = _ADAPTER.validate_python(cbor2.loads(value))
        record_by_digest = {digest: _record(*rest) for digest, *rest in records}
    except (cbor2.CBORDecodeError, ValidationError, ValueError) as error:
        return Err(f"invalid claim shard: {error}")
    if version != FORMAT:
        return Err(f"claim shard has format {version}, expected {FORMAT}")
    return Ok(ClaimShard(record_by_digest, set(spent)))


def _record(token, body, state, claimed_at, answer, answer_key):
    state = ClaimState(state)
    return ClaimRecord(token, body, state, claimed_at, answer, answer_key)
