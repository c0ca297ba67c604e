"""Keys of the store's objects that hold claims and their answers."""

from wharf_coordination.claims import ClaimPlace

__all__ = [
    "ANSWERS_PREFIX",
    "FLOOR_KEY",
    "SHARDS_PREFIX",
    "answer_key",
    "bucket_of_key",
    "era_key",
    "era_of_shard_key",
    "shard_key",
]

PREFIX = "claims/1/"
SHARDS_PREFIX = PREFIX + "shards/"
ANSWERS_PREFIX = PREFIX + "answers/"
ERAS_PREFIX = PREFIX + "eras/"
FLOOR_KEY = PREFIX + "floor"


def shard_key(place: ClaimPlace, era=0) -> str:
    """Return the key of the object that holds the claims of `place`.

    Each era of the store has objects of its own, since versions of one key repeat
    from one era to the next.

    >>> shard_key(ClaimPlace(3, 1764827500))
    'claims/1/shards/1764827500/3'
    >>> shard_key(ClaimPlace(3, 1764827500), era=2)
    'claims/1/shards/1764827500/3/2'
    """
    key = f"{SHARDS_PREFIX}{place.bucket}/{place.shard}"
    return f"{key}/{era}" if era else key


def era_of_shard_key(place: ClaimPlace, key) -> int | None:
    """Return the era of a key with the prefix of `place`, or None for another place.

    >>> era_of_shard_key(ClaimPlace(3, 10), "claims/1/shards/10/3/2")
    2
    """
    era = key.removeprefix(shard_key(place))
    if not era:
        return 0
    return int(era[1:]) if era.startswith("/") else None


def era_key(era) -> str:
    """Return the key of the object that holds when `era` began."""
    return f"{ERAS_PREFIX}{era}"


def answer_key(bucket, digest) -> str:
    """Return the key of the object that holds a large answer."""
    return f"{ANSWERS_PREFIX}{bucket}/{digest.hex()}"


def bucket_of_key(key) -> int:
    """Return the bucket in the key of a shard or an answer.

    >>> bucket_of_key("claims/1/shards/1764827500/3/2")
    1764827500
    """
    return int(key.split("/")[3])
