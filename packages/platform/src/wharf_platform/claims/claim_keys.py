"""Keys of the store's objects that hold claims and their answers."""

from wharf_coordination.claims import ClaimPlace

__all__ = [
    "ANSWERS_PREFIX",
    "FLOOR_KEY",
    "SHARDS_PREFIX",
    "answer_key",
    "bucket_of_key",
    "shard_key",
]

PREFIX = "claims/1/"
SHARDS_PREFIX = PREFIX + "shards/"
ANSWERS_PREFIX = PREFIX + "answers/"
FLOOR_KEY = PREFIX + "floor"


def shard_key(place: ClaimPlace) -> str:
    """Return the key of the object that holds the claims of `place`.

    >>> shard_key(ClaimPlace(3, 1764827500))
    'claims/1/shards/1764827500/3'
    """
    return f"{SHARDS_PREFIX}{place.bucket}/{place.shard}"


def answer_key(bucket, digest) -> str:
    """Return the key of the object that holds a large answer."""
    return f"{ANSWERS_PREFIX}{bucket}/{digest.hex()}"


def bucket_of_key(key) -> int:
    """Return the bucket in the key of a shard or an answer.

    >>> bucket_of_key("claims/1/shards/1764827500/3")
    1764827500
    """
    return int(key.split("/")[-2])
