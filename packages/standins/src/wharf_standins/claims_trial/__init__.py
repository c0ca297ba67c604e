"""Trial of claims over a store that comes back from a copy, in virtual time."""

from wharf_standins.claims_trial.claims_site import ClaimsSite
from wharf_standins.claims_trial.claims_trial import ClaimsTrial

__all__ = ["ClaimsSite", "ClaimsTrial"]
