"""Where in the store the claim of a unit is kept."""

from dataclasses import dataclass

from wharf_coordination.claims.key_date import key_date

__all__ = ["BUCKET_SECONDS", "SHARDS", "UNDATED", "ClaimPlace", "bucket_of"]

# Part of the store's format: entries that differ here would not see each other.
SHARDS = 8
BUCKET_SECONDS = 10
UNDATED = -1


@dataclass(frozen=True, slots=True)
class ClaimPlace:
    """One object of claims: a shard, and the bucket of the keys' dates.

    `bucket` is the Unix time at which the bucket begins, or UNDATED.
    """

    shard: int
    bucket: int

    @classmethod
    def of(cls, unit):
        """Return the place of the claim of `unit`.

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
        """Return whether the place expires as a whole."""
        return self.bucket != UNDATED


def bucket_of(date) -> int:
    """Return the begin of the bucket that holds the Unix time `date`."""
    return int(date // BUCKET_SECONDS) * BUCKET_SECONDS
