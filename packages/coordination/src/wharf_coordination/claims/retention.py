"""Retention of claims, and limits on the age of keys."""

from dataclasses import dataclass

from result import Err, Ok, Result

from wharf_coordination.claims.claim_place import bucket_of
from wharf_coordination.claims.key_date import key_date
from wharf_coordination.code import Code
from wharf_coordination.refusal import Refusal

__all__ = ["Retention"]

RETENTION_SECONDS = 3600.0
MAX_AHEAD_SECONDS = 300.0
MAX_EARLY_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Retention:
    """Keep the claims of dated keys for `seconds` after the key's date.

    Keys dated more than `max_ahead` seconds in the future are refused, and none is
    claimed more than MAX_EARLY_SECONDS before its date. `now` is Unix time here,
    since that is what keys contain.
    """

    seconds: float = RETENTION_SECONDS
    max_ahead: float = MAX_AHEAD_SECONDS

    def check(self, key, now) -> Result[None, Refusal]:
        """Return Ok if a request with `key` may make a claim at `now`, or a refusal.

        >>> Retention(3600.0).check("1700000000-a", now=1700003601).unwrap_err().code
        <Code.KEY_EXPIRED: 2011>
        """
        date = key_date(key)
        if date is None:
            return Ok(None)
        age = now - date
        if age > self.seconds:
            detail = f"key is {age:.0f} s old, claims are kept for {self.seconds:.0f} s"
            return Err(Refusal.unknown(Code.KEY_EXPIRED, detail))
        if age < -self.max_ahead:
            detail = f"key is {-age:.0f} s in the future, limit {self.max_ahead:.0f} s"
            return Err(Refusal.not_run(Code.BAD_HEADER, detail))
        return Ok(None)

    def wait(self, key, now) -> float:
        """Return the seconds after which `key` may be claimed.

        >>> Retention().wait("1700000010-a", now=1700000000)
        8.0
        """
        date = key_date(key)
        return 0.0 if date is None else max(0.0, date - MAX_EARLY_SECONDS - now)

    def floor(self, now) -> int:
        """Return the start of the oldest bucket whose claims must be kept at `now`."""
        return bucket_of(now - self.seconds)
