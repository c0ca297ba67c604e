"""Creation time of an idempotency key, read from the key itself."""

import re

__all__ = ["key_date"]

_UUID_V7 = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)
_SECONDS_PREFIX = re.compile(r"(\d{10})-.+")
MILLISECONDS_PER_SECOND = 1000


def key_date(key) -> float | None:
    """Return the Unix time in `key`, or None for an undated key.

    Dated keys are UUIDs of version 7 and keys of the form `SECONDS-ANYTHING`, with
    ten digits of Unix time.

    >>> key_date("1764827506-hold-3")
    1764827506.0
    >>> key_date("019ae8a5-1d50-7000-8000-000000000000")
    1764839726.416
    >>> key_date("hold-3") is None
    True
    """
    if match := _UUID_V7.fullmatch(key):
        return int(match[1] + match[2], 16) / MILLISECONDS_PER_SECOND
    if match := _SECONDS_PREFIX.fullmatch(key):
        return float(match[1])
    return None
