"""Kinds of objects in the platform's store."""

from enum import StrEnum

__all__ = ["DUTIES", "StoreKind"]

# The leases of duties, which are read when needed and not watched.
DUTIES = "duties"


class StoreKind(StrEnum):
    """A kind of objects that the gateway uses."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    EVACUATIONS = "evacuations"
    ROLLOUTS = "rollouts"
    ENTRIES = "entries"
    QUARANTINES = "quarantines"
