"""Which engines probably have a part cached, without any messages."""

from functools import lru_cache
from heapq import nsmallest
from math import log

from wharf_coordination.rendezvous import fraction

__all__ = ["home_ranks"]


def home_ranks(key, weight_by_id, count):
    """Return the ranks of the `count` engines that gateways prefer for a part.

    A weighted rendezvous: an engine is the first in proportion to its weight, and a
    change of one engine's weight moves only parts to or from it.

    >>> sorted(home_ranks(7, {"a": 1.0, "b": 1.0, "c": 1.0}, 2).values())
    [0, 1]
    """
    first = nsmallest(
        count, weight_by_id, key=lambda name: _distance(key, name) / weight_by_id[name]
    )
    return {name: rank for rank, name in enumerate(first)}


@lru_cache(maxsize=32_768)
def _distance(key, name):
    return -log(max(fraction(str(key), name), 1e-18))
