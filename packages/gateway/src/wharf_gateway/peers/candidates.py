"""Which gateways may prepare for others."""

from wharf_coordination.rendezvous import subset

__all__ = ["candidates"]

# A preparer serves the whole pool: one with less than this share of the most
# capacity would be the bottleneck, or not even see it.
LEAST_SHARE = 0.5
# Each candidate has a link to every gateway and tells its load on it ten times a
# second; a pool has one preparer, and the others only wait to replace it.
MOST_CANDIDATES = 16


def candidates(capacity_by_name):
    """Return the names of the gateways that may prepare.

    All gateways choose alike from the same entries.

    >>> sorted(candidates({"a": 2.0, "b": 0.4, "c": 1.5}))
    ['a', 'c']
    """
    most = max(capacity_by_name.values(), default=0.0)
    able = [
        name
        for name, capacity in capacity_by_name.items()
        if capacity >= LEAST_SHARE * most
    ]
    return frozenset(subset("preparers", able, MOST_CANDIDATES))
