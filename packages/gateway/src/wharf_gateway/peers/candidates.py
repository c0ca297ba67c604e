"""Selection of the gateways that may run preparations for others."""

from wharf_coordination.rendezvous import subset

__all__ = ["candidates"]

# A preparer serves its whole pool: one with less than this share of the largest
# capacity would be a bottleneck, possibly without detecting it.
MIN_CAPACITY_SHARE = 0.5
# Each candidate sends its load to every gateway ten times a second, and a pool uses
# one preparer at a time; the other candidates are only replacements.
MAX_CANDIDATES = 16


def candidates(capacity_by_name):
    """Return the names of the gateways that may run preparations.

    The result depends only on the entries, so that all gateways agree.

    >>> sorted(candidates({"a": 2.0, "b": 0.4, "c": 1.5}))
    ['a', 'c']
    """
    largest = max(capacity_by_name.values(), default=0.0)
    capable = [
        name
        for name, capacity in capacity_by_name.items()
        if capacity >= MIN_CAPACITY_SHARE * largest
    ]
    return frozenset(subset("preparers", capable, MAX_CANDIDATES))
