"""The time for which an upstream wants no requests, as it writes it."""

import re

from result import Err, Ok, Result

__all__ = ["MAX_QUIET_SECONDS", "quiet_seconds"]

# An upstream that wants no requests for longer is tried again after this.
MAX_QUIET_SECONDS = 300.0
MAX_SHOWN = 40  # characters of a text that can't be read
_SECONDS = re.compile(r"[+-]?(?:[0-9]+\.?[0-9]*|\.[0-9]+)")


def quiet_seconds(text) -> Result[float, str]:
    """Return the seconds of a `Retry-After` field, or an error text.

    Of several values separated by commas, the longest one that can be read holds, up to
    `MAX_QUIET_SECONDS`. Values below 0 count as 0. Dates aren't read, since the clocks
    of hosts differ.

    >>> quiet_seconds("0.75, 2")
    Ok(2.0)
    >>> quiet_seconds("Sun, 06 Nov 1994 08:49:37 GMT")
    Err("no seconds: 'Sun, 06 Nov 1994 08:49:37 GMT'")
    """
    items = [item.strip() for item in text.split(",")]
    values = [float(item) for item in items if _SECONDS.fullmatch(item)]
    if not values:
        return Err(f"no seconds: {text[:MAX_SHOWN]!r}")
    return Ok(min(max(0.0, *values), MAX_QUIET_SECONDS))
