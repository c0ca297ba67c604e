"""Location of a unit's claim in the store."""

from dataclasses import dataclass

from wharf_coordination.claims.key_date import key_date

__all__ = ["BUCKET_SECONDS", "SHARDS", "UNDATED", "ClaimPlace", "bucket_of"]

# Part of the storage format: entries with other values would not see each
# other's claims.
SHARDS = 8
BUCKET_SECONDS = 10
UNDATED = -1


@dataclass(frozen=True, slots=True)
class ClaimPlace:
    """Location of one stored object: a shard, and a bucket of key dates.

    `bucket` is the Unix time at which the bucket starts, or UNDATED.
    """

    shard: int
    bucket: int

    @classmethod
    def of(cls, unit):
        """Return the location of the claim of `unit`.

        >>> from wharf_coordination.claims import ClaimUnit
        >>> ClaimPlace.of(ClaimUnit("acme", "hold", "1764827506-3", "book")).bucket
        1764827500
        """
        date = key_date(unit.key)
        bucket = UNDATED
        if date is not None:
            bucket = bucket_of(date)
        return cls(unit.digest[0] % SHARDS, bucket)

    @property
    def is_dated(self):
        """Return whether all claims at this location expire together."""
        return self.bucket != UNDATED


def bucket_of(date) -> int:
    """Return the start of the bucket that contains the Unix time `date`."""
    return int(date // BUCKET_SECONDS) * BUCKET_SECONDS
