"""Selection of the gateways that may run preparations for others."""

from wharf_coordination.rendezvous import ranked, subset

__all__ = ["candidates", "reserves"]

# A preparer serves its whole pool: one with less than this share of the largest
# capacity would be a bottleneck, possibly without detecting it.
MIN_CAPACITY_SHARE = 0.5
# Each candidate has a link to every gateway, on which it sends its load ten times a
# second. A pool uses one preparer at a time; other candidates are only replacements.
MAX_CANDIDATES = 16
# Reserves prepare while no candidate is ready. On a heavy day 12 of 30 gateways were
# killed while the others were stopped in turn, with all 8 candidates away at once.
MAX_RESERVES = 8
MIN_RESERVES = 2
# Each reserve has a link to every gateway. This many links in all are a seventh of
# those of 16 candidates among 340 gateways.
MAX_RESERVE_LINKS = 750


def candidates(capacity_by_name):
    """Return the names of the gateways that may run preparations.

    The result depends only on the entries, so that all gateways agree.

    >>> sorted(candidates({"a": 2.0, "b": 0.4, "c": 1.5}))
    ['a', 'c']
    """
    capable = _capable(capacity_by_name)
    return frozenset(subset("preparers", capable, MAX_CANDIDATES))


def reserves(capacity_by_name):
    """Return the names of the gateways that prepare while no candidate is ready.

    These are the next by capacity, in steps of `MIN_CAPACITY_SHARE`.

    >>> sorted(reserves({"a": 2.0, "b": 0.4, "c": 1.5, "d": 0.1}))
    ['b', 'd']
    """
    first = candidates(capacity_by_name)
    rest = {n: c for n, c in capacity_by_name.items() if n not in first}
    by_links = MAX_RESERVE_LINKS // max(1, len(capacity_by_name))
    size = min(MAX_RESERVES, max(MIN_RESERVES, by_links))
    chosen = []
    while rest and len(chosen) < size:
        level = _capable(rest)
        chosen += ranked("reserves", level)[: size - len(chosen)]
        rest = {n: c for n, c in rest.items() if n not in level}
    return frozenset(chosen)


def _capable(capacity_by_name):
    largest = max(capacity_by_name.values(), default=0.0)
    return {
        name
        for name, capacity in capacity_by_name.items()
        if capacity >= MIN_CAPACITY_SHARE * largest
    }
