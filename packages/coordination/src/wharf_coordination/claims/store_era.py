"""Era of the store, and the claims that its beginning may have lost."""

from dataclasses import dataclass

from wharf_coordination.claims.claim_place import ClaimPlace
from wharf_coordination.claims.retention import MAX_EARLY_SECONDS

__all__ = ["StoreEra"]

CLOCK_SPREAD_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class StoreEra:
    """How often the store has come back from a copy, and when it last did.

    `began_at` is the Unix time at which somebody first saw the era. The clocks of
    entries may differ by CLOCK_SPREAD_SECONDS.
    """

    number: int = 0
    began_at: float = 0.0

    def may_have_lost(self, place: ClaimPlace, now, retention) -> bool:
        """Return whether a claim at `place` may have been lost with the last era.

        Dated keys tell for ever: no claim was granted before the date of its key.
        Undated ones are in doubt for `retention` seconds.

        >>> era = StoreEra(2, began_at=1000.0)
        >>> era.may_have_lost(ClaimPlace(0, 1000), 1100.0, 3600.0)
        True
        >>> era.may_have_lost(ClaimPlace(0, 1010), 1100.0, 3600.0)
        False
        """
        if not place.is_dated and now > self.began_at + retention:
            return False
        return self.may_have_former(place)

    def may_have_former(self, place: ClaimPlace) -> bool:
        """Return whether an earlier era may have left claims at `place`."""
        if self.number == 0:
            return False
        return not place.is_dated or place.bucket <= self.latest_lost_date

    @property
    def latest_lost_date(self):
        """Return the latest date of a key that can have been claimed before."""
        return self.began_at + MAX_EARLY_SECONDS + CLOCK_SPREAD_SECONDS
