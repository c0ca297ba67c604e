"""Data centres whose upstreams share one queue."""

from collections import Counter
from dataclasses import dataclass

__all__ = ["Pool", "pools_of"]

# With three upstreams of a service, one of them is usually about to become free. With
# fewer, a piece waits for half a call at each step, which is more than the target
# latency of its request allows.
MIN_UPSTREAMS_PER_SERVICE = 3
EVERYWHERE = "everywhere"


@dataclass(frozen=True, slots=True)
class Pool:
    """A name and its data centres; an empty set means all data centres."""

    name: str
    data_centres: frozenset[str] = frozenset()

    def contains(self, data_centre):
        """Return whether upstreams of a data centre belong to the pool."""
        return not self.data_centres or data_centre in self.data_centres

    @classmethod
    def named(cls, name):
        """Return the pool with a name that `pools_of` gives.

        >>> everywhere, one = Pool.named("everywhere"), Pool.named("dc-2")
        >>> everywhere.contains("dc-1"), one.contains("dc-1")
        (True, False)
        """
        return cls(name) if name == EVERYWHERE else cls(name, frozenset({name}))


def pools_of(placements):
    """Return the pools for upstreams, given as pairs of service and data centre.

    Each data centre has a pool of its own if all of them have enough upstreams of
    every service; otherwise all data centres share one pool.

    >>> [pool.name for pool in pools_of([("encode", "dc-1"), ("encode", "dc-2")])]
    ['everywhere']
    >>> [pool.name for pool in pools_of([("encode", "dc-1")] * 3)]
    ['dc-1']
    """
    counts = Counter(placements)
    services = {service for service, _ in counts}
    centres = {centre for _, centre in counts}
    is_split = all(
        counts[service, centre] >= MIN_UPSTREAMS_PER_SERVICE
        for service in services
        for centre in centres
    )
    names = sorted(centres) if is_split and centres else [EVERYWHERE]
    return [Pool.named(name) for name in names]
